export * from './memory-log-service.js';
export * from './seeded-log-faults.js';
