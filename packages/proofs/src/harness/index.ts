export * from './fakeEngines.js';
export * from './fakePlatform.js';
export * from './localTransport.js';
export * from './network.js';
export * from './recordingSink.js';
export * from './virtualClock.js';
export * from './world.js';
