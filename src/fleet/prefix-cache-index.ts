import { maxPrefixBlocks, promptBlockTokens, type PromptPrefix } from './prompt-prefix.js';

/** Kind of a {@link CacheEvent}. */
export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted',
  /** The whole cache was dropped. */
  Cleared = 'cleared',
}

/** Change of an engine's prefix cache. Events arrive late and may be lost. */
export interface CacheEvent {
  readonly kind: CacheEventKind;
  /** Increases by one with each event of an endpoint; a gap means that events were lost. */
  readonly sequence: number;
  /** Block hashes as in {@link PromptPrefix}; empty for {@link CacheEventKind.Cleared}. */
  readonly blocks: readonly number[];
  /** Block before the first of `blocks`, also cached; undefined at the start of a prompt. */
  readonly parentBlock?: number | undefined;
  /** Time of the change by the engine's clock, in epoch milliseconds. */
  readonly observedAtMs: number;
}

/** Options of {@link PrefixCacheIndex}. */
export interface PrefixCacheIndexOptions {
  /** Age at which the evidence for a block has half its weight. */
  readonly halfLifeMs?: number;
  /** Maximum number of blocks kept per endpoint; those learned first are dropped first. */
  readonly maxBlocks?: number;
}

/** Evidence that a block is cached. */
interface KnownBlock {
  atMs: number;
  /** Preceding block, if known. */
  parent: number | undefined;
}

interface EndpointCache {
  /** Evidence by block, in the order in which the blocks were learned. */
  readonly known: Map<number, KnownBlock>;
  lastSequence: number | undefined;
  /** Smoothed age of the evidence at eviction; undefined before the first eviction. */
  evictionAgeMs: number | undefined;
}

/** Fraction of the usual age at eviction from which a block may have been evicted in a gap. */
const uncertainAgeRatio = 0.5;

/** Expected cached tokens from which an answer with less than half of them shows a wrong index. */
const minCheckedTokens = 512;

/**
 * Index of the prompt blocks in the prefix caches of the endpoints, built from the engines' cache
 * events and the daemon's own requests. It is a hint: a wrong entry costs recomputed tokens, never
 * an answer.
 *
 * @example
 * ```ts
 * const caches = new PrefixCacheIndex();
 * caches.recordSent('vm-1:1', prefix, clock.nowMs());
 * caches.cachedTokens('vm-1:1', prefix, clock.nowMs()); // about prefix.length * 64
 * ```
 */
export class PrefixCacheIndex {
  readonly #halfLifeMs: number;
  readonly #maxBlocks: number;
  readonly #endpoints = new Map<string, EndpointCache>();

  constructor(options: PrefixCacheIndexOptions = {}) {
    this.#halfLifeMs = options.halfLifeMs ?? 300_000;
    this.#maxBlocks = options.maxBlocks ?? maxPrefixBlocks;
  }

  /**
   * Applies an engine's event. Repeated and older events are ignored. After a gap, blocks that may
   * have been evicted in it are dropped: engines evict the least recently used blocks, so these are
   * the ones whose evidence is about as old as that of blocks evicted before. Dropping all blocks
   * would lose the shared prompts, which an engine announces only once.
   */
  apply(endpointId: string, event: CacheEvent): void {
    const cache = this.#cache(endpointId);
    const { lastSequence, known } = cache;
    if (lastSequence !== undefined && event.sequence <= lastSequence) return;
    if (lastSequence !== undefined && event.sequence > lastSequence + 1) {
      const evictionAgeMs = cache.evictionAgeMs ?? Infinity;
      this.#dropBefore(cache, event.observedAtMs - evictionAgeMs * uncertainAgeRatio);
    }
    cache.lastSequence = event.sequence;
    switch (event.kind) {
      case CacheEventKind.Cleared:
        this.#dropBefore(cache, event.observedAtMs);
        break;
      case CacheEventKind.Evicted:
        for (const block of event.blocks) {
          const evidence = known.get(block);
          if (!evidence || evidence.atMs > event.observedAtMs) continue;
          const ageMs = event.observedAtMs - evidence.atMs;
          cache.evictionAgeMs =
            cache.evictionAgeMs === undefined
              ? ageMs
              : cache.evictionAgeMs + (ageMs - cache.evictionAgeMs) * 0.02;
          known.delete(block);
        }
        break;
      case CacheEventKind.Stored:
        this.#refreshAncestors(known, event.parentBlock, event.observedAtMs);
        this.#recordBlocks(known, event.blocks, event.parentBlock, event.observedAtMs);
        break;
    }
  }

  /** Records that the daemon sent a prompt, which leaves its blocks in the endpoint's cache. */
  recordSent(endpointId: string, prefix: PromptPrefix, nowMs: number): void {
    this.#recordBlocks(this.#cache(endpointId).known, prefix, undefined, nowMs);
  }

  /**
   * Compares the expected cached tokens with the usage in an answer. A large deviation drops the
   * blocks of the endpoint, as it shows that an event such as a cleared cache was lost.
   *
   * @param expectedTokens - {@link cachedTokens} at the time of sending.
   * @param sentAtMs - time of sending, in epoch milliseconds.
   */
  recordServed(
    endpointId: string,
    expectedTokens: number,
    cachedTokens: number,
    sentAtMs: number,
  ): void {
    if (expectedTokens < minCheckedTokens || cachedTokens * 2 >= expectedTokens) return;
    this.#dropBefore(this.#cache(endpointId), sentAtMs - 1);
  }

  /** Expected cached tokens of the prompt, weighted by the age of the evidence. */
  cachedTokens(endpointId: string, prefix: PromptPrefix, nowMs: number): number {
    const known = this.#endpoints.get(endpointId)?.known;
    const first = prefix[0];
    if (!known || first === undefined || !known.has(first)) return 0;
    // Engines evict from the end of a prefix, so the cached blocks are a run from the start and
    // bisection finds its end; a linear scan would dominate the routing time of long prompts.
    let last = 0;
    let unknown = prefix.length;
    while (last + 1 < unknown) {
      const middle = (last + unknown) >> 1;
      if (known.has(prefix[middle] ?? -1)) last = middle;
      else unknown = middle;
    }
    const atMs = known.get(prefix[last] ?? -1)?.atMs ?? nowMs;
    const ageMs = Math.max(0, nowMs - atMs);
    return (last + 1) * promptBlockTokens * Math.exp((-Math.LN2 * ageMs) / this.#halfLifeMs);
  }

  /** Removes an endpoint whose identity is gone. */
  remove(endpointId: string): void {
    this.#endpoints.delete(endpointId);
  }

  #cache(endpointId: string): EndpointCache {
    let cache = this.#endpoints.get(endpointId);
    if (!cache) {
      cache = { known: new Map(), lastSequence: undefined, evictionAgeMs: undefined };
      this.#endpoints.set(endpointId, cache);
    }
    return cache;
  }

  #dropBefore({ known }: EndpointCache, atMs: number): void {
    for (const [block, evidence] of known) {
      if (evidence.atMs <= atMs) known.delete(block);
    }
  }

  /** A stored block shows that the blocks before it are cached and were just used. */
  #refreshAncestors(known: Map<number, KnownBlock>, from: number | undefined, atMs: number): void {
    let block = from;
    while (block !== undefined) {
      const evidence = known.get(block);
      if (!evidence || evidence.atMs >= atMs) return;
      evidence.atMs = atMs;
      block = evidence.parent;
    }
  }

  #recordBlocks(
    known: Map<number, KnownBlock>,
    blocks: readonly number[],
    parentBlock: number | undefined,
    atMs: number,
  ): void {
    let parent = parentBlock;
    // Those beyond the limit would first take memory and then the place of the ones before them.
    for (const block of blocks.slice(0, this.#maxBlocks)) {
      const evidence = known.get(block);
      if (evidence) {
        evidence.atMs = Math.max(evidence.atMs, atMs);
        evidence.parent ??= parent;
      } else {
        known.set(block, { atMs, parent });
      }
      parent = block;
    }
    for (const block of known.keys()) {
      if (known.size <= this.#maxBlocks) return;
      known.delete(block);
    }
  }
}
