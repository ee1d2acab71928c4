export type { ForwardDependencies } from './dependencies.js';
export type { CallerRequest } from './callerRequest.js';
export { ForwardRun } from './forwardRun.js';
export { refusalForms } from './refusals.js';
export { isRefused, resolveRequest } from './resolveRequest.js';
export type * from './types.js';
