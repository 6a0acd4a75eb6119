export * from './chat-chunk.js';
export * from './engine-client.js';
export * from './engine-error.js';
export * from './http-engine-client.js';
export * from './service-client.js';
