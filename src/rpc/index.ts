export * from './peer-caller.js';
