export * from './entry-writer.js';
export * from './envelope.js';
export * from './fold.js';
export * from './claim-fold.js';
export * from './job-fold.js';
export * from './lease-fold.js';
