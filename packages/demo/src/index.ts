export * from './daemonSettings.js';
export * from './deployment.js';
export * from './layout.js';
export * from './managedProcess.js';
export * from './operatorClient.js';
export * from './standinsClient.js';
