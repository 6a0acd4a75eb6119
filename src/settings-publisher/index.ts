export * from './settings-publisher.js';
