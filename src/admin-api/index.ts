export * from './answers.js';
export * from './queries.js';
export * from './work-items.js';
