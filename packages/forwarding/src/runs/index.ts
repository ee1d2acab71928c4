export type { ForwardDependencies } from './dependencies.js';
export { ForwardRun, type CallerRequest } from './forwardRun.js';
export { refusalForms } from './refusals.js';
export { isRefused, resolveRequest } from './resolveRequest.js';
export type * from './types.js';
