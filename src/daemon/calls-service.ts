import { z } from 'zod';
import {
  ClaimCoordinator,
  ClaimExecutor,
  OutcomeRecorder,
  type BackEndAnswer,
  type BackEndCaller,
  type CallAnswer,
} from '../calls/index.js';
import type { Clock } from '../core/index.js';
import {
  ClaimFold,
  claimSchema,
  EntryKind,
  EntryPriority,
  resolutionEntrySchema,
  type Claim,
  type ResolutionEntry,
} from '../state/index.js';
import type { OpenStream } from './log-access.js';
import { runOnOwner } from './owner-fallback.js';
import { decodeResult, encodeResult, resultOrErrorSchema } from './request-error-codec.js';
import { ShardHost, shardOfId, LocalShard } from './shard-host.js';
import { waitUntilReady, type ShardedServiceOptions } from './sharded-service.js';

const callSchema = z.object({
  workspace: z.string(),
  service: z.string(),
  idempotencyKey: z.string(),
  method: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  bodyBase64: z.base64(),
  deadlineAtMs: z.number(),
  rememberMs: z.number(),
  fingerprintMs: z.number(),
});

/** A non-repeatable call, as it is sent to the owner of its shard. */
export type RoutedCall = z.output<typeof callSchema>;

const answerSchema = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  bodyBase64: z.base64(),
  isReplayed: z.boolean(),
  isRecorded: z.boolean(),
});

const answerOrErrorSchema = resultOrErrorSchema(answerSchema);
const executeMethod = 'calls.execute';
const resolveMethod = 'calls.resolve';
const resolveTimeoutMs = 10_000;
/** Time reserved for reading the log here when the owner of a shard does not answer. */
const maxFallbackReserveMs = 2_000;
const fallbackReserveRatio = 0.2;

/** Options of {@link CallsService}. */
export interface CallsServiceOptions extends ShardedServiceOptions {
  /** Returns a caller that chooses an endpoint when it sends the call. */
  readonly backEndFor: (call: RoutedCall) => BackEndCaller;
  /** Queries the service's status route about a call; undefined when its state is unknown. */
  readonly queryStatus: (call: RoutedCall) => Promise<BackEndAnswer | undefined>;
}

/**
 * Non-repeatable calls of all shards. A call runs on the owner of its shard, where claims share
 * appends. When the owner is unreachable, the call runs on this daemon; the order of claims in the
 * log makes this safe.
 *
 * @example
 * ```ts
 * const answer = await calls.execute(call);
 * ```
 */
export class CallsService {
  readonly #options: CallsServiceOptions;
  readonly #shards: ShardHost<ClaimShard>;

  constructor(options: CallsServiceOptions) {
    this.#options = options;
    this.#shards = new ShardHost<ClaimShard>({
      name: 'claims',
      shards: options.shards,
      membership: options.membership,
      clock: options.clock,
      create: (shard) => new ClaimShard(shard, options),
    });
    options.methods.register(executeMethod, (params) => {
      const call = callSchema.parse(params);
      return encodeResult(() => this.#executeLocally(call));
    });
    options.methods.register(resolveMethod, async (params) => {
      const resolution = resolutionEntrySchema.omit({ kind: true }).parse(params);
      return (await this.resolve(resolution)) ?? null;
    });
  }

  /** Starts the shards that this daemon owns. */
  start(): void {
    this.#shards.start();
  }

  /** Runs a call at most once. @throws RequestError whose outcome says whether it may have run. */
  async execute(call: RoutedCall): Promise<z.output<typeof answerSchema>> {
    const owner = this.#shards.remoteOwner(this.#shardOf(call));
    if (!owner) return this.#executeLocally(call);
    const { peers, clock } = this.#options;
    const remainingMs = call.deadlineAtMs - clock.nowMs();
    const deadlineAtMs =
      call.deadlineAtMs - Math.min(maxFallbackReserveMs, remainingMs * fallbackReserveRatio);
    return runOnOwner(
      async () => {
        const answer = await peers.call(owner.rpcUrl, executeMethod, call, { deadlineAtMs });
        return decodeResult(answerOrErrorSchema.parse(answer));
      },
      // The log holds what the owner did, so the call repeats the same key here.
      () => this.#executeLocally(call),
    );
  }

  /** Claims of the shards on this daemon, for operators. */
  claims(): readonly Claim[] {
    return this.#shards.hosted().flatMap((shard) => shard.claims());
  }

  /** Records an operator's finding about an unknown outcome; undefined when the claim is unknown. */
  async resolve(resolution: Omit<ResolutionEntry, 'kind'>): Promise<Claim | undefined> {
    const shardNumber = shardOfId(resolution.claimId) % this.#options.shards;
    const owner = this.#shards.remoteOwner(shardNumber);
    const deadlineAtMs = this.#options.clock.nowMs() + resolveTimeoutMs;
    if (owner) {
      const { peers } = this.#options;
      const answer = await peers.call(owner.rpcUrl, resolveMethod, resolution, { deadlineAtMs });
      return claimSchema.nullable().parse(answer) ?? undefined;
    }
    const shard = this.#shards.localShard(shardNumber);
    await waitUntilReady(shard, deadlineAtMs, this.#options.clock);
    return shard.resolve(resolution);
  }

  async stop(deadlineAtMs: number): Promise<void> {
    await this.#shards.stop(deadlineAtMs);
  }

  #shardOf({ workspace, service, idempotencyKey }: RoutedCall): number {
    return this.#shards.shardOf(JSON.stringify([workspace, service, idempotencyKey]));
  }

  async #executeLocally(call: RoutedCall): Promise<z.output<typeof answerSchema>> {
    const { clock, backEndFor, queryStatus } = this.#options;
    const shard = this.#shards.localShard(this.#shardOf(call));
    await waitUntilReady(shard, call.deadlineAtMs, clock);
    const { idempotencyKey, method, path, headers, bodyBase64, ...rest } = call;
    const answer: CallAnswer = await shard.coordinator.handle({
      ...rest,
      idempotencyKey,
      request: { method, path, headers, body: Buffer.from(bodyBase64, 'base64') },
      caller: backEndFor(call),
      queryStatus: () => queryStatus(call),
    });
    return {
      status: answer.status,
      headers: { ...answer.headers },
      bodyBase64: Buffer.from(answer.body).toString('base64'),
      isReplayed: answer.isReplayed,
      isRecorded: answer.isRecorded,
    };
  }
}

/** Claims of one shard. @internal */
class ClaimShard extends LocalShard {
  readonly coordinator: ClaimCoordinator;
  readonly #stream: OpenStream<ClaimFold>;
  readonly #recorder: OutcomeRecorder;
  readonly #clock: Clock;

  constructor(shard: number, options: CallsServiceOptions) {
    super();
    const { clock, random, events, daemon, newId } = options;
    this.#clock = clock;
    this.#stream = options.log.open(`claims.${shard}`, new ClaimFold());
    const { fold, writer } = this.#stream;
    this.#recorder = new OutcomeRecorder({ clock, random: random.fork(), writer, log: events });
    const recorder = this.#recorder;
    const executor = new ClaimExecutor({ clock, fold, recorder, log: events });
    this.coordinator = new ClaimCoordinator({
      clock,
      fold,
      writer,
      executor,
      recorder,
      daemon,
      newId: () => `${shard}-${newId()}`,
    });
  }

  override get ready(): Promise<void> {
    return this.#stream.replica.ready;
  }

  claims(): readonly Claim[] {
    return this.#stream.fold.claims();
  }

  async resolve(resolution: Omit<ResolutionEntry, 'kind'>): Promise<Claim | undefined> {
    const claim = this.#stream.fold.claim(resolution.claimId);
    if (!claim) return undefined;
    await this.#stream.writer.append(
      { kind: EntryKind.Resolution, ...resolution },
      { deadlineAtMs: this.#clock.nowMs() + 10_000, priority: EntryPriority.High },
    );
    // A claim resolved as not run releases its key, and the fold removes it.
    return this.#stream.fold.claim(resolution.claimId) ?? { ...claim, resolution };
  }

  override async stop(deadlineAtMs: number): Promise<void> {
    await this.#recorder.drain(deadlineAtMs);
    await this.#stream.close();
  }
}
