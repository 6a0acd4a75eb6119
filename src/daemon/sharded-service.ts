import {
  Outcome,
  RequestError,
  Step,
  type Clock,
  type IdSource,
  type Random,
} from '../core/index.js';
import type { Membership } from '../membership/index.js';
import type { PeerCaller, PeerMethodRegistry } from '../rpc/index.js';
import type { EventLog } from '../telemetry/index.js';
import type { LogAccess } from './log-access.js';
import type { LocalShard } from './shard-host.js';

/** Options of a service whose state is sharded over streams of the log. */
export interface ShardedServiceOptions {
  /** Name of this daemon. */
  readonly daemon: string;
  readonly shards: number;
  readonly log: LogAccess;
  readonly membership: Membership;
  readonly peers: PeerCaller;
  readonly methods: PeerMethodRegistry;
  readonly clock: Clock;
  readonly random: Random;
  readonly newId: IdSource;
  readonly events: EventLog;
}

/** Waits until a shard has caught up. @throws RequestError (`not_run`) after `deadlineAtMs`. */
export async function waitUntilReady(
  shard: LocalShard,
  deadlineAtMs: number,
  clock: Clock,
): Promise<void> {
  const timeoutAbort = new AbortController();
  const isReady = await Promise.race([
    shard.ready.then(() => true),
    clock.sleepUntil(deadlineAtMs, timeoutAbort.signal).then(() => false),
  ]);
  timeoutAbort.abort();
  if (isReady) return;
  throw new RequestError('the log could not be read in time', {
    step: Step.Log,
    peer: 'log',
    status: 503,
    code: 'log_unavailable',
    next: 'Send the request again with the same key.',
    outcome: Outcome.NotRun,
    retryAtMs: clock.nowMs() + 5_000,
  });
}
