export * from './engine-client.js';
export * from './engine-error.js';
