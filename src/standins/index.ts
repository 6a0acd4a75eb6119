export * from './memory-log-service.js';
