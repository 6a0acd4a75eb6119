export * from './endpoint-view.js';
