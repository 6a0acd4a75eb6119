export * from './answer-assembler.js';
export * from './endpoint-chooser.js';
export { type JobPolicy } from './generation-attempt.js';
export * from './handover-planner.js';
export * from './job-manager.js';
export * from './job-runner.js';
export * from './kv-migrator.js';
export * from './kv-transfer-queue.js';
