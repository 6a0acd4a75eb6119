export * from './endpoint-registry.js';
export * from './endpoint-view.js';
export * from './drain-recorder.js';
export * from './leaving-gossip.js';
export * from './leaving-set.js';
export * from './http-endpoint-probe.js';
export * from './stall-detector.js';
export * from './registered-endpoints.js';
