export * from './checkSettings.js';
export * from './describeSettings.js';
export * from './errors.js';
export * from './readSettings.js';
export * from './readTlsFiles.js';
export * from './settingsSchema.js';
