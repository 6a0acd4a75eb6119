export * from './gossip-message.js';
export * from './member.js';
export * from './membership.js';
export * from './peer-transport.js';
export * from './swim-protocol.js';
export * from './set-hash.js';
