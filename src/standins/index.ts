export * from './memory-log-service.js';
export * from './memory-peer-network.js';
export * from './memory-fleet.js';
