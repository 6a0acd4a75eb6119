export * from './envelope.js';
export * from './fold.js';
