export * from './engine-server.js';
export * from './log-server.js';
export * from './memory-log-service.js';
export * from './plain-server.js';
export * from './seeded-log-faults.js';
export * from './memory-peer-network.js';
export * from './memory-fleet.js';
