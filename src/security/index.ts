export * from './key-verifier.js';
export * from './listen-address.js';
export * from './signing-key.js';
export * from './secret-hash.js';
export * from './tls-context.js';
