import { LRUCache } from 'lru-cache';

/** A whole answer, or one that may have been cut by the crash of its endpoint. */
export interface Answer {
  readonly partIds: readonly string[];
  /** Times of the request and of the end of its answer, in epoch milliseconds. */
  readonly sentAtMs: number;
  readonly answeredAtMs: number;
}

/** Bounds of the memory, as callers choose the ids of parts. */
const maxAnsweredParts = 8_192;
const maxToldParts = 2_048;

/** Endpoints with answers whose end proves nothing yet, and such answers of one. */
const maxUnprovenEndpoints = 512;
const maxUnprovenAnswers = 32;

/** Shortest time between two messages about whole answers with the same part. */
const tellPeriodMs = 1_000;

/**
 * The answers that came whole at this daemon, by the parts of their prompts, and those that wait for
 * a sign that their endpoint went on after them.
 */
export class WholeAnswers {
  readonly #latest = new LRUCache<string, Omit<Answer, 'partIds'>>({ max: maxAnsweredParts });
  readonly #toldAtMs = new LRUCache<string, number>({ max: maxToldParts });
  readonly #unproven = new LRUCache<string, readonly Answer[]>({ max: maxUnprovenEndpoints });

  record({ partIds, sentAtMs, answeredAtMs }: Answer): void {
    for (const partId of partIds) this.#latest.set(partId, { sentAtMs, answeredAtMs });
  }

  /** The latest answer with a part; undefined when none is known. */
  latest(partId: string): Omit<Answer, 'partIds'> | undefined {
    return this.#latest.get(partId);
  }

  /** Those of the parts on which an answer came whole after a time in epoch milliseconds. */
  answeredSince(partIds: readonly string[], sinceMs: number): string[] {
    return partIds.filter((partId) => {
      return (this.#latest.get(partId)?.answeredAtMs ?? -Infinity) > sinceMs;
    });
  }

  /** Those of the parts of which the other daemons are to be told now, and marks them as told. */
  takeUntold(partIds: readonly string[], nowMs: number): string[] {
    const untold = partIds.filter((partId) => {
      return (this.#toldAtMs.get(partId) ?? -Infinity) + tellPeriodMs <= nowMs;
    });
    for (const partId of untold) this.#toldAtMs.set(partId, nowMs);
    return untold;
  }

  /** Keeps an answer until its endpoint proves to have gone on. */
  addUnproven(endpointId: string, answer: Answer): void {
    const others = this.#unproven.get(endpointId) ?? [];
    this.#unproven.set(endpointId, [...others, answer].slice(-maxUnprovenAnswers));
  }

  /** Removes and returns the answers of an endpoint that waited for a sign of it. */
  takeUnproven(endpointId: string): readonly Answer[] {
    const answers = this.#unproven.get(endpointId);
    if (!answers) return [];
    this.#unproven.delete(endpointId);
    return answers;
  }
}
