export * from './burn-recorder.js';
export * from './slo-window.js';
