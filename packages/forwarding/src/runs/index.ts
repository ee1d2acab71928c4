export type { ForwardDependencies } from './dependencies.js';
export type { CallerRequest } from './callerRequest.js';
export { buildRefusal } from './buildRefusal.js';
export { ForwardRun } from './forwardRun.js';
export { refusalForms } from './refusals.js';
export { isRefused, resolveRequest, type Resolution } from './resolveRequest.js';
export type * from './types.js';
export { AnswerMemory } from './answerMemory.js';
export { EventMemory } from './eventMemory.js';
