import { promptBlockTokens, type PromptPrefix } from './prompt-prefix.js';

/** What a {@link CacheEvent} says. */
export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted',
  /** The whole cache was dropped. */
  Cleared = 'cleared',
}

/** Change of an engine's prefix cache, published late and sometimes lost. */
export interface CacheEvent {
  readonly kind: CacheEventKind;
  /** Rises by one with each event of an endpoint; a jump shows that events were lost. */
  readonly sequence: number;
  /** Block hashes as in {@link PromptPrefix}; empty for {@link CacheEventKind.Cleared}. */
  readonly blocks: readonly number[];
  /** Time of the change by the engine's clock, in epoch milliseconds. */
  readonly observedAtMs: number;
}

/** Options of {@link CacheView}. */
export interface CacheViewOptions {
  /** Age at which knowledge of a block counts half. */
  readonly halfLifeMs?: number;
  /** Blocks remembered per endpoint; the oldest knowledge is dropped first. */
  readonly maxBlocks?: number;
}

interface EndpointCache {
  /** Block to the time of the newest evidence that it is cached; oldest evidence first. */
  readonly knownAtMs: Map<number, number>;
  lastSequence: number | undefined;
}

/**
 * What a daemon believes about the prefix caches of endpoints, from the engines' cache events and
 * from its own requests. It is a hint: a wrong belief costs recomputed tokens, never an answer.
 *
 * @example
 * ```ts
 * const caches = new CacheView();
 * caches.noteSent('vm-1:1', prefix, clock.nowMs());
 * caches.cachedTokens('vm-1:1', prefix, clock.nowMs()); // about prefix.length * 64
 * ```
 */
export class CacheView {
  readonly #halfLifeMs: number;
  readonly #maxBlocks: number;
  readonly #endpoints = new Map<string, EndpointCache>();

  constructor(options: CacheViewOptions = {}) {
    this.#halfLifeMs = options.halfLifeMs ?? 300_000;
    this.#maxBlocks = options.maxBlocks ?? 8_192;
  }

  /**
   * Applies an engine's event. Repeated and older events are ignored. After a gap, blocks without
   * evidence newer than the event are dropped, since an eviction may have been lost.
   */
  apply(endpointId: string, event: CacheEvent): void {
    const cache = this.#cache(endpointId);
    const { lastSequence, knownAtMs } = cache;
    if (lastSequence !== undefined && event.sequence <= lastSequence) return;
    const hasGap = lastSequence !== undefined && event.sequence > lastSequence + 1;
    if (hasGap || event.kind === CacheEventKind.Cleared) {
      for (const [block, atMs] of knownAtMs) {
        if (atMs <= event.observedAtMs) knownAtMs.delete(block);
      }
    }
    cache.lastSequence = event.sequence;
    for (const block of event.blocks) {
      const atMs = knownAtMs.get(block) ?? -Infinity;
      if (event.kind === CacheEventKind.Stored) {
        this.#remember(knownAtMs, block, Math.max(atMs, event.observedAtMs));
      } else if (event.kind === CacheEventKind.Evicted && atMs <= event.observedAtMs) {
        knownAtMs.delete(block);
      }
    }
  }

  /** Notes that the daemon sent a prompt, which leaves its blocks in the endpoint's cache. */
  noteSent(endpointId: string, prefix: PromptPrefix, nowMs: number): void {
    const { knownAtMs } = this.#cache(endpointId);
    for (const block of prefix) this.#remember(knownAtMs, block, nowMs);
  }

  /** Expected cached tokens of the prompt, weighted by the age of the evidence. */
  cachedTokens(endpointId: string, prefix: PromptPrefix, nowMs: number): number {
    const knownAtMs = this.#endpoints.get(endpointId)?.knownAtMs;
    const first = prefix[0];
    if (!knownAtMs || first === undefined || !knownAtMs.has(first)) return 0;
    // Engines evict from the end of a prefix, so the cached blocks are a run from the start and
    // bisection finds its end; a linear walk would dominate the decision for long prompts.
    let known = 0;
    let unknown = prefix.length;
    while (known + 1 < unknown) {
      const middle = (known + unknown) >> 1;
      if (knownAtMs.has(prefix[middle] ?? -1)) known = middle;
      else unknown = middle;
    }
    const atMs = knownAtMs.get(prefix[known] ?? -1) ?? nowMs;
    const ageMs = Math.max(0, nowMs - atMs);
    return (known + 1) * promptBlockTokens * Math.exp((-Math.LN2 * ageMs) / this.#halfLifeMs);
  }

  /** Drops what is known of an endpoint, when its identity has left. */
  forget(endpointId: string): void {
    this.#endpoints.delete(endpointId);
  }

  #cache(endpointId: string): EndpointCache {
    let cache = this.#endpoints.get(endpointId);
    if (!cache) {
      cache = { knownAtMs: new Map(), lastSequence: undefined };
      this.#endpoints.set(endpointId, cache);
    }
    return cache;
  }

  /** Moves the block to the end of the map, whose insertion order is the order of eviction. */
  #remember(knownAtMs: Map<number, number>, block: number, atMs: number): void {
    knownAtMs.delete(block);
    knownAtMs.set(block, atMs);
    if (knownAtMs.size <= this.#maxBlocks) return;
    const oldest = knownAtMs.keys().next().value;
    if (oldest !== undefined) knownAtMs.delete(oldest);
  }
}
