import {
  WeightStore,
  WeightStoreBusyError,
  type WeightLoadRequest,
  type WeightLoadStatus,
} from '../capacity/index.js';
import { OrioleError, Step, type Clock } from '../core/index.js';

/** Options of {@link MemoryWeightStore}. */
export interface MemoryWeightStoreOptions {
  readonly clock: Clock;
  /** Rate of all loads together; they run one after the other. */
  readonly rateBytesPerS: number;
  readonly modelBytes: number;
  /** A load is refused while accepted ones would still take this long. */
  readonly maxBacklogMs?: number;
}

/** A load as the store carries it out. */
export interface StoredLoad {
  readonly request: WeightLoadRequest;
  readonly beganAtMs: number;
  readonly finishesAtMs: number;
}

/**
 * {@link WeightStore} in memory with a rate limit.
 *
 * @example
 * ```ts
 * const store = new MemoryWeightStore({ clock, rateBytesPerS: 1e9, modelBytes: 1e10 });
 * ```
 */
export class MemoryWeightStore extends WeightStore {
  /** Accepted loads in order. */
  readonly loads: StoredLoad[] = [];
  refusals = 0;
  /** Begins take effect, but their answers are lost. */
  losesAnswers = false;
  readonly #options: Required<MemoryWeightStoreOptions>;
  #freeAtMs = 0;

  constructor(options: MemoryWeightStoreOptions) {
    super();
    this.#options = { maxBacklogMs: 2_000, ...options };
  }

  override async bytesOf(): Promise<number> {
    return this.#options.modelBytes;
  }

  override async begin(request: WeightLoadRequest): Promise<WeightLoadStatus> {
    const { clock, maxBacklogMs, modelBytes, rateBytesPerS } = this.#options;
    const nowMs = clock.nowMs();
    if (!this.loads.some((load) => load.request.token === request.token)) {
      const startMs = Math.max(nowMs, this.#freeAtMs);
      if (startMs - nowMs > maxBacklogMs) {
        this.refusals += 1;
        throw new WeightStoreBusyError('memory-weight-store', startMs - maxBacklogMs);
      }
      this.#freeAtMs = startMs + (modelBytes / rateBytesPerS) * 1_000;
      this.loads.push({ request, beganAtMs: nowMs, finishesAtMs: this.#freeAtMs });
    }
    if (this.losesAnswers) throw unanswered();
    return this.status(request.token);
  }

  override async status(token: string): Promise<WeightLoadStatus> {
    const { clock, modelBytes, rateBytesPerS } = this.#options;
    const load = this.loads.find(({ request }) => request.token === token);
    if (!load) throw unanswered();
    const leftBytes = ((load.finishesAtMs - clock.nowMs()) / 1_000) * rateBytesPerS;
    const loadedBytes = Math.min(modelBytes, Math.max(0, Math.round(modelBytes - leftBytes)));
    return { bytes: modelBytes, loadedBytes };
  }
}

function unanswered(): OrioleError {
  return new OrioleError('no answer', { step: Step.Capacity, peer: 'memory-weight-store' });
}
