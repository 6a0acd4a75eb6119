export * from './core/index.js';
