export * from './append-batcher.js';
export * from './distributed-log.js';
export * from './distributor-ranking.js';
export * from './metered-log.js';
export * from './replica-client.js';
export * from './replica-server.js';
