export * from './memory-log-service.js';
export * from './memory-peer-network.js';
export * from './memory-fleet.js';
export * from './memory-cloud.js';
export * from './memory-leases.js';
export * from './cloud-server.js';
export * from './memory-weight-store.js';
export * from './weight-store-server.js';
