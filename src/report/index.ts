export * from './burn-recorder.js';
export * from './burn-report.js';
export * from './render-html.js';
export * from './render-text.js';
export * from './slo-window.js';
