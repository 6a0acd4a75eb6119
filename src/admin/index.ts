export * from './admin-backend.js';
export * from './admin-error.js';
export * from './admin-server.js';
export * from './operator-scope.js';
export * from './peer-queries.js';
