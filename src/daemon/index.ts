export * from './daemon-settings.js';
export * from './daemon.js';
