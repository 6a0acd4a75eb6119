export * from './event-log.js';
export * from './events.js';
export * from './metrics.js';
export * from './rate-limited-event-log.js';
export * from './line-writer.js';
export * from './log-line.js';
export * from './request-trace.js';
export * from './unexpected-errors.js';
