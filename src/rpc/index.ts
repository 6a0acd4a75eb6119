export * from './peer-caller.js';
export * from './peer-check.js';
export * from './rpc-client.js';
export * from './rpc-error.js';
export * from './rpc-server.js';
