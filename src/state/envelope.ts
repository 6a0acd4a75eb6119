export * from '../log/envelope.js';
