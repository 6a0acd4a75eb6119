export * from './config-fold.js';
export * from './entry-writer.js';
export * from './envelope.js';
export * from './fold.js';
export * from './settings-change.js';
export * from './stream-replica.js';
