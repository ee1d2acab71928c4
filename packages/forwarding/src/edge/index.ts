export { ForwardMetrics } from './forwardMetrics.js';
export { FrontServer } from './frontServer.js';
export type { CallerListener } from './types.js';
export { StatusServer, type StatusAnswer } from './statusServer.js';
export {
  findCallerLimits,
  LimitReporter,
  type CallerLimit,
  type CountLimited,
  type ProcessLimits,
} from './limits/index.js';
