export * from '../log/entry-writer.js';
