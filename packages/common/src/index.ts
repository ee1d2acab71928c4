export * from './errors.js';
export * from './handlerActor.js';
export * from './ids.js';
export * from './invariant.js';
export * from './logger.js';
export * from './random.js';
export * from './rendezvous.js';
export * from './sleep.js';
