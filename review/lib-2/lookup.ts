import type { CaseRecord } from './record.js';
import type { WorkerOptions } from './worker.js';

/** A deployment with one service of short safe requests. */
export const lookupHost = 'haneul.example';
export const lookupTimeoutMs = 1_500;

const tenant = { unit: 'tokens', plain_tokens: 200, rate_per_s: 500_000, burst: 500_000 };

export const lookupConfig = {
  version: 3,
  routes: [
    {
      name: 'lookup',
      host: lookupHost,
      path_prefix: '/lookup/',
      kind: 'safe',
      service: 'school',
      timeout_ms: lookupTimeoutMs,
      target_latency_ms: 200,
      max_attempts: 2,
    },
  ],
  services: [{ name: 'school', health_path: '/health' }],
  tenants: [
    { ...tenant, name: 'ours', api_keys: ['key-ours'] },
    { ...tenant, name: 'theirs', api_keys: ['key-theirs'] },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
};

/** Its workers, which write down what they run. */
export function lookupWorkers(record: CaseRecord): WorkerOptions[] {
  return ['i-s1', 'i-s2', 'i-s3'].map((id) => ({
    id,
    workMs: 40,
    events: 1,
    gapMs: 1,
    kvTokens: Infinity,
    onRun: ({ requestId }) => {
      record.line(`${id} runs ${requestId}`);
    },
    onDone: () => undefined,
  }));
}
