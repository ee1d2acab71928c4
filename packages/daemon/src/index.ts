export * from './daemon.js';
export * from './daemonCore.js';
export * from './settings/index.js';
