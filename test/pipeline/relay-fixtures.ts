import { WorkClass } from '../../src/core/index.js';
import type { EngineClient } from '../../src/engine/index.js';
import {
  AttemptEnd,
  ChatResponder,
  EndpointLease,
  EndpointSelector,
  RetryScheduler,
  type GenerationTask,
  type SelectionRequest,
} from '../../src/pipeline/index.js';

export class ScriptedLease extends EndpointLease {
  readonly ends: AttemptEnd[] = [];
  silences = 0;
  readonly moveController = new AbortController();
  override readonly moveSignal = this.moveController.signal;
  override readonly endpointId: string;
  override readonly client: EngineClient;

  constructor(endpointId: string, client: EngineClient) {
    super();
    this.endpointId = endpointId;
    this.client = client;
  }

  override get endpointName(): string {
    return this.endpointId;
  }

  override recordToken(): void {
    // Not observed by these tests.
  }

  override recordSilence(): void {
    this.silences += 1;
  }

  override end(attemptEnd: AttemptEnd): void {
    this.ends.push(attemptEnd);
  }
}

export class ScriptedSelector extends EndpointSelector {
  readonly selections: SelectionRequest[] = [];
  readonly #leases: ScriptedLease[];

  constructor(leases: ScriptedLease[]) {
    super();
    this.#leases = leases;
  }

  override select(request: SelectionRequest): Promise<EndpointLease> {
    this.selections.push({ ...request, excludedIds: new Set(request.excludedIds) });
    const lease = this.#leases.find(({ endpointId }) => !request.excludedIds.has(endpointId));
    return lease ? Promise.resolve(lease) : Promise.reject(new Error('no endpoint left'));
  }
}

export class CountingRetryScheduler extends RetryScheduler {
  usedCount = 0;
  readonly #limit: number;

  constructor(limit: number) {
    super();
    this.#limit = limit;
  }

  override nextAttemptAtMs(): number | undefined {
    if (this.usedCount >= this.#limit) return undefined;
    this.usedCount += 1;
    return 0;
  }

  override refund(): void {
    this.usedCount -= 1;
  }
}

export class CollectingResponder extends ChatResponder {
  text = '';
  ends = 0;

  override writeToken(text: string): undefined {
    this.text += text;
    return undefined;
  }

  override writeKeepAlive(): void {
    // Not observed by these tests.
  }

  override end(): void {
    this.ends += 1;
  }
}

export const task: GenerationTask = {
  requestId: 'r1',
  serviceId: 'team/service',
  workspaceId: 'team/workspace',
  model: 'm',
  messages: [{ role: 'user', content: 'hello' }],
  maxTokens: 100,
  expectedOutputTokens: 4,
  workClass: WorkClass.Short,
  deadlineAtMs: 1e12,
  isResumable: true,
  passThrough: {},
};
