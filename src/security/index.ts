export * from './key-store.js';
export * from './listen-rule.js';
export * from './signing-key.js';
export * from './secret-hash.js';
export * from './tls-context.js';
