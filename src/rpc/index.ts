export * from './peer-caller.js';
export * from './peer-authenticator.js';
export * from './rpc-client.js';
export * from './rpc-error.js';
export * from './rpc-server.js';
