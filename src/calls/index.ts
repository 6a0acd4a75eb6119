export * from './back-end-caller.js';
export * from './claim-coordinator.js';
export * from './claim-executor.js';
export * from './key-time.js';
export * from './outcome-recorder.js';
export * from './http-back-end-caller.js';
