export { ForwardMetrics } from './forwardMetrics.js';
export { FrontServer } from './frontServer.js';
export { StatusServer, type StatusAnswer } from './statusServer.js';
