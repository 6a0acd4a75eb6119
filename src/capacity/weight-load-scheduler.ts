import Denque from 'denque';
import type { Clock } from '../core/index.js';
import { EventId, NullEventLog, type EventLog } from '../telemetry/index.js';
import { WeightStoreBusyError, type WeightLoadRequest, type WeightStore } from './weight-store.js';

/** Options of {@link WeightLoadScheduler}. */
export interface WeightLoadSchedulerOptions {
  readonly clock: Clock;
  readonly store: WeightStore;
  /** Part of the store's rate limit that this daemon may use, in bytes per second. */
  readonly rateBytesPerS: number;
  readonly events?: EventLog;
}

interface WaitingLoad {
  readonly request: WeightLoadRequest;
  readonly bytes: number;
  readonly onStarted: () => void;
}

interface DomainQueue {
  readonly loads: Denque<WaitingLoad>;
  /**
   * Bytes granted so far; raised to the level of the other queues when an idle queue is used again.
   */
  grantedBytes: number;
}

/** The assumed rate is halved on a refusal and recovers by this ratio of the limit per second. */
const recoveryRatioPerS = 0.05;
const minRateRatio = 0.05;
const retryDelayMs = 2_000;

/**
 * Starts the loading of model weights from the weight store onto endpoints. Loads start one after
 * the other at the store's rate, fairly by failure domain: the domain with the fewest granted bytes
 * is next, so that two domains that return at the same time recover at the same pace.
 *
 * Loads run in sequence because the store's rate is the bottleneck: in parallel, each load would
 * finish as late as the last one.
 *
 * @example
 * ```ts
 * await scheduler.load({ token, endpointId, failureDomain, model, version });
 * ```
 */
export class WeightLoadScheduler {
  readonly #clock: Clock;
  readonly #store: WeightStore;
  readonly #events: EventLog;
  readonly #limitBytesPerS: number;
  readonly #queues = new Map<string, DomainQueue>();
  #rateBytesPerS: number;
  #rateAtMs: number;
  #nextStartAtMs = 0;
  #isRunning = false;

  constructor(options: WeightLoadSchedulerOptions) {
    this.#clock = options.clock;
    this.#store = options.store;
    this.#events = options.events ?? new NullEventLog();
    this.#limitBytesPerS = options.rateBytesPerS;
    this.#rateBytesPerS = options.rateBytesPerS;
    this.#rateAtMs = options.clock.nowMs();
  }

  /** Number of loads that are waiting to start. */
  get waitingCount(): number {
    let count = 0;
    for (const { loads } of this.#queues.values()) count += loads.length;
    return count;
  }

  /**
   * Queues a load; resolves when the store has started it.
   *
   * @throws OrioleError when the size of the model's weights cannot be read from the store.
   */
  async load(request: WeightLoadRequest): Promise<void> {
    const bytes = await this.#store.bytesOf(request.model, request.version);
    await new Promise<void>((resolve) => {
      this.#queueOf(request.failureDomain).loads.push({ request, bytes, onStarted: resolve });
      void this.#run();
    });
  }

  #queueOf(failureDomain: string): DomainQueue {
    let queue = this.#queues.get(failureDomain);
    if (!queue) {
      queue = { loads: new Denque(), grantedBytes: 0 };
      this.#queues.set(failureDomain, queue);
    }
    if (queue.loads.length === 0) {
      // Without this, a domain that was idle for long would be served alone until it caught up.
      const busy = [...this.#queues.values()].filter(({ loads }) => loads.length > 0);
      const level = Math.min(...busy.map(({ grantedBytes }) => grantedBytes));
      if (busy.length > 0) queue.grantedBytes = Math.max(queue.grantedBytes, level);
    }
    return queue;
  }

  async #run(): Promise<void> {
    if (this.#isRunning) return;
    this.#isRunning = true;
    for (let queue = this.#nextQueue(); queue; queue = this.#nextQueue()) {
      await this.#clock.sleepUntil(this.#nextStartAtMs);
      // The next load is chosen again after the wait, because another domain may have queued one.
      const chosen = this.#nextQueue();
      const load = chosen?.loads.peekFront();
      if (chosen && load && (await this.#start(load))) {
        chosen.loads.shift();
        chosen.grantedBytes += load.bytes;
        load.onStarted();
      }
    }
    this.#isRunning = false;
  }

  #nextQueue(): DomainQueue | undefined {
    let next: DomainQueue | undefined;
    for (const queue of this.#queues.values()) {
      if (queue.loads.length === 0) continue;
      if (!next || queue.grantedBytes < next.grantedBytes) next = queue;
    }
    return next;
  }

  async #start({ request, bytes }: WaitingLoad): Promise<boolean> {
    const nowMs = this.#clock.nowMs();
    const recovered = (this.#limitBytesPerS * recoveryRatioPerS * (nowMs - this.#rateAtMs)) / 1_000;
    this.#rateBytesPerS = Math.min(this.#limitBytesPerS, this.#rateBytesPerS + recovered);
    this.#rateAtMs = nowMs;
    try {
      await this.#store.begin(request);
      this.#nextStartAtMs = nowMs + (bytes / this.#rateBytesPerS) * 1_000;
      return true;
    } catch (error) {
      if (!(error instanceof WeightStoreBusyError)) {
        // The token makes a retry harmless if the load did start.
        this.#nextStartAtMs = this.#clock.nowMs() + retryDelayMs;
        return false;
      }
      // Other controllers share the store; halving the rate leaves capacity for them.
      this.#rateBytesPerS = Math.max(this.#limitBytesPerS * minRateRatio, this.#rateBytesPerS / 2);
      this.#nextStartAtMs = Math.max(error.retryAtMs, this.#clock.nowMs() + 100);
      this.#events.warn(EventId.WeightStoreBusy, 'weight store at its rate limit; rate halved', {
        failureDomain: request.failureDomain,
        retryAtMs: error.retryAtMs,
      });
      return false;
    }
  }
}
