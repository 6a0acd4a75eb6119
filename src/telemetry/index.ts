export * from './event-log.js';
export * from './events.js';
export * from './metrics.js';
