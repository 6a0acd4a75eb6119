import type { LengthPrediction } from '../admission/index.js';
import { EngineFailure } from '../engine/index.js';
import { promptPrefix } from '../fleet/prompt-prefix.js';
import {
  EndpointChooser,
  KvMover,
  type KvTransfers,
  type ChosenEndpoint,
  type EndpointQuery,
  type JobFrame,
  type KvMove,
} from '../jobs/index.js';
import {
  AttemptEnd,
  estimatedTokens,
  JobDesk,
  type ChatContext,
  type JobView,
} from '../pipeline/index.js';
import type { JobsService } from './jobs-service.js';
import type { RoutedLease, RoutedSelector } from './routed-selector.js';
import { request } from 'undici';
import { z } from 'zod';
import type { Clock } from '../core/index.js';

/** Jobs of callers, through the home of their shard. */
export class DaemonJobDesk extends JobDesk {
  readonly #jobs: JobsService;

  constructor(jobs: JobsService) {
    super();
    this.#jobs = jobs;
  }

  override accept(context: ChatContext, prediction: LengthPrediction): Promise<string> {
    const { call, caller } = context;
    const { model, messages, maxTokens, passThrough, deadlineAtMs, service } = call;
    return this.#jobs.accept({
      workspace: caller.workspace.id,
      service: service.id,
      request: { model, messages: [...messages], maxTokens, passThrough },
      workClass: prediction.workClass,
      deadlineAtMs,
      rememberMs: service.values.remember_ms,
    });
  }

  override get(jobId: string): Promise<JobView | undefined> {
    return this.#jobs.get(jobId);
  }

  override cancel(jobId: string): Promise<JobView | undefined> {
    return this.#jobs.cancel(jobId);
  }

  override read(jobId: string, offset: number, signal: AbortSignal): AsyncIterable<JobFrame> {
    return this.#jobs.read(jobId, offset, signal);
  }
}

/** Routes the generations of jobs like those of callers. */
export class RoutedChooser extends EndpointChooser {
  readonly #selector: RoutedSelector;
  readonly #leases = new Map<ChosenEndpoint, RoutedLease>();

  constructor(selector: RoutedSelector) {
    super();
    this.#selector = selector;
  }

  override choose({ job, avoid, region }: EndpointQuery): Promise<ChosenEndpoint | undefined> {
    const messages = [...job.request.messages, { role: 'assistant', content: job.text }];
    const lease = this.#selector.tryLease({
      requestId: job.jobId,
      serviceId: job.service,
      workspaceId: job.workspace,
      model: job.request.model,
      maxTokens: job.request.maxTokens,
      expectedOutputTokens: Math.max(1, job.request.maxTokens - job.recordedTokens),
      workClass: job.workClass,
      deadlineAtMs: job.deadlineAtMs,
      excludedIds: avoid,
      prefix: promptPrefix(messages),
      promptTokens: estimatedTokens(messages),
      isRepeatable: true,
      ...(region === undefined ? {} : { region }),
    });
    if (!lease) return Promise.resolve(undefined);
    const chosen: ChosenEndpoint = {
      id: lease.endpointId,
      failureDomain: lease.view.failureDomain,
      region: lease.view.region,
      engine: lease.client,
    };
    this.#leases.set(chosen, lease);
    return Promise.resolve(chosen);
  }

  override finished(endpoint: ChosenEndpoint, failure: EngineFailure | undefined): void {
    this.#leases.get(endpoint)?.end(failure ? endOfFailure[failure] : AttemptEnd.Completed);
    this.#leases.delete(endpoint);
  }
}

const endOfFailure: Readonly<Record<EngineFailure, AttemptEnd>> = {
  [EngineFailure.Refused]: AttemptEnd.Refused,
  [EngineFailure.Rejected]: AttemptEnd.Rejected,
  [EngineFailure.Broken]: AttemptEnd.Broken,
  [EngineFailure.Silent]: AttemptEnd.Silent,
  [EngineFailure.BadRequest]: AttemptEnd.Completed,
};

const exportAnswer = z.object({ blocks: z.array(z.number()) });

/** Moves KV caches by the engines' export and import calls. */
export class HttpKvMover extends KvMover {
  readonly #clock: Clock;
  readonly #baseUrlOf: (endpointId: string) => string | undefined;
  readonly #transfers: KvTransfers;

  constructor(
    clock: Clock,
    baseUrlOf: (endpointId: string) => string | undefined,
    transfers: KvTransfers,
  ) {
    super();
    this.#transfers = transfers;
    this.#clock = clock;
    this.#baseUrlOf = baseUrlOf;
  }

  override async move(move: KvMove): Promise<string | undefined> {
    const from = this.#baseUrlOf(move.from.id);
    const to = this.#baseUrlOf(move.to.id);
    if (from === undefined || to === undefined) return undefined;
    // Between regions the link carries no KV cache (design page, section 3.10).
    if (move.from.region !== move.to.region) return undefined;
    const leftMs = Math.max(1, Math.floor(move.deadlineAtMs - this.#clock.nowMs()));
    const signal = AbortSignal.timeout(leftMs);
    try {
      await this.#transfers.turn(move.requestId, signal);
      const exported = await post(`${from}/kv/export`, { request_id: move.requestId }, signal);
      const { blocks } = exportAnswer.parse(exported);
      await post(`${to}/kv/import`, { blocks }, signal);
      return move.requestId;
    } catch {
      // The text is then recomputed, which costs time but loses nothing.
      return undefined;
    }
  }
}

async function post(url: string, body: unknown, signal: AbortSignal): Promise<unknown> {
  const response = await request(url, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    signal,
  });
  if (response.statusCode !== 200) throw new Error(`status ${response.statusCode} from ${url}`);
  return response.body.json();
}
