export * from './deployment.js';
export * from './schemas.js';
export * from './settings-document.js';
export * from './settings-path.js';
