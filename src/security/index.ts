export * from './key-store.js';
export * from './listen-rule.js';
export * from './path-scope.js';
export * from './secret-hash.js';
export * from './tls-context.js';
