export * from './entry-writer.js';
export * from './envelope.js';
export * from './fold.js';
export * from './lease-fold.js';
