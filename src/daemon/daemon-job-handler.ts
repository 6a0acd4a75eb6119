import type { LengthPrediction } from '../admission/index.js';
import { EngineFailure } from '../engine/index.js';
import { promptPrefix } from '../fleet/prompt-prefix.js';
import {
  EndpointChooser,
  KvMigrator,
  type KvTransferQueue,
  type ChosenEndpoint,
  type EndpointQuery,
  type JobFrame,
  type KvMigration,
} from '../jobs/index.js';
import {
  AttemptEnd,
  estimatePromptTokens,
  JobHandler,
  type ChatContext,
  type JobView,
} from '../pipeline/index.js';
import type { JobsService } from './jobs-service.js';
import type { RoutedLease, RoutedSelector } from './routed-selector.js';
import { z } from 'zod';
import type { Clock } from '../core/index.js';
import { readControlJson } from '../core/response-body.js';
import { sendRequest } from '../core/send-request.js';

/** Passes callers' job requests to {@link JobsService}. */
export class DaemonJobHandler extends JobHandler {
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

/** Routes generations of jobs in the same way as chat requests. */
export class RoutedEndpointChooser extends EndpointChooser {
  readonly #selector: RoutedSelector;
  readonly #leases = new Map<ChosenEndpoint, RoutedLease>();

  constructor(selector: RoutedSelector) {
    super();
    this.#selector = selector;
  }

  override choose({
    job,
    excludedIds,
    region,
  }: EndpointQuery): Promise<ChosenEndpoint | undefined> {
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
      excludedIds,
      prefix: promptPrefix(messages),
      promptTokens: estimatePromptTokens(messages),
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

  override release(endpoint: ChosenEndpoint, failure: EngineFailure | undefined): void {
    this.#leases.get(endpoint)?.end(failure ? attemptEndByFailure[failure] : AttemptEnd.Completed);
    this.#leases.delete(endpoint);
  }
}

const attemptEndByFailure: Readonly<Record<EngineFailure, AttemptEnd>> = {
  [EngineFailure.ConnectionFailed]: AttemptEnd.ConnectionFailed,
  [EngineFailure.Rejected]: AttemptEnd.Rejected,
  [EngineFailure.Broken]: AttemptEnd.Broken,
  [EngineFailure.TimedOut]: AttemptEnd.TimedOut,
  [EngineFailure.BadRequest]: AttemptEnd.Completed,
};

const exportResponseSchema = z.object({ blocks: z.array(z.number()) });

/** Moves KV caches by the engines' export and import calls. */
export class HttpKvMigrator extends KvMigrator {
  readonly #clock: Clock;
  readonly #baseUrlOf: (endpointId: string) => string | undefined;
  readonly #transferQueue: KvTransferQueue;

  constructor(
    clock: Clock,
    baseUrlOf: (endpointId: string) => string | undefined,
    transferQueue: KvTransferQueue,
  ) {
    super();
    this.#transferQueue = transferQueue;
    this.#clock = clock;
    this.#baseUrlOf = baseUrlOf;
  }

  override async migrate(move: KvMigration): Promise<string | undefined> {
    const from = this.#baseUrlOf(move.from.id);
    const to = this.#baseUrlOf(move.to.id);
    if (from === undefined || to === undefined) return undefined;
    // KV caches do not cross links between regions (design page, section 3.10).
    if (move.from.region !== move.to.region) return undefined;
    const timeoutMs = Math.max(1, Math.floor(move.deadlineAtMs - this.#clock.nowMs()));
    const signal = AbortSignal.timeout(timeoutMs);
    try {
      await this.#transferQueue.waitForTurn(move.requestId, signal);
      const exported = await postJson(`${from}/kv/export`, { request_id: move.requestId }, signal);
      const { blocks } = exportResponseSchema.parse(exported);
      await postJson(`${to}/kv/import`, { blocks }, signal);
      return move.requestId;
    } catch {
      // Without the cache the engine recomputes it, which costs time but loses no text.
      return undefined;
    }
  }
}

async function postJson(url: string, body: unknown, signal: AbortSignal): Promise<unknown> {
  const response = await sendRequest(url, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    signal,
  });
  if (response.statusCode !== 200) throw new Error(`status ${response.statusCode} from ${url}`);
  return readControlJson(response);
}
