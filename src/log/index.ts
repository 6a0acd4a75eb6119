export * from './http-log-service.js';
export * from './log-errors.js';
export * from './log-service.js';
