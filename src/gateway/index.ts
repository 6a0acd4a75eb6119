export * from './config-holder.js';
export * from './event-splitter.js';
export * from './gateway.js';
export * from './readiness-listener.js';
export * from './request-codec.js';
export * from './route-table.js';
export * from './traffic-config.js';
