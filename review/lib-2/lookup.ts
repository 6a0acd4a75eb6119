import type { OrdinaryCall } from './ordinary.js';
import type { CaseRecord } from './record.js';
import type { WorkerOptions } from './worker.js';

/** A deployment with one service of short requests that run at most once. */
export const lookupHost = 'haneul.example';
export const lookupTimeoutMs = 1_000;

/** What an ordinary client sends; its wait is longer than the timeout and half a second. */
export const lookupCall: OrdinaryCall = {
  method: 'POST',
  path: '/lookup/1',
  host: lookupHost,
  key: 'key-ours',
  body: 'timetable',
  deadlineMs: 2_000,
};

const tenant = { unit: 'tokens', plain_tokens: 200, rate_per_s: 500_000, burst: 500_000 };

export const lookupConfig = {
  version: 3,
  routes: [
    {
      name: 'lookup',
      host: lookupHost,
      path_prefix: '/lookup/',
      kind: 'unsafe',
      service: 'school',
      timeout_ms: lookupTimeoutMs,
      target_latency_ms: 200,
      max_attempts: 1,
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
    slots: 64,
    kvTokens: Infinity,
    onRun: ({ requestId }) => {
      record.line(`${id} runs ${requestId}`);
    },
    onDone: () => undefined,
  }));
}
