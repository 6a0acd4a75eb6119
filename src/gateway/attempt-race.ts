import type { AttemptResult } from './attempt.js';
import type { RunningAttempt } from './running-attempt.js';

/** An attempt that has ended, and how. */
export interface EndedAttempt {
  readonly running: RunningAttempt;
  readonly result: AttemptResult;
}

/** Options of {@link AttemptRace}. */
export interface AttemptRaceOptions {
  /** Called with each attempt that has ended, before the race is decided. */
  readonly onEnded: (ended: EndedAttempt) => void;
  /** Whether the end of an attempt answers the request, whatever the others would bring. */
  readonly isDecisive: (result: AttemptResult) => boolean;
}

/**
 * The attempts of one request that are in flight: one, and another one for each whose endpoint is
 * silent. Whichever has something to forward goes on alone, so that the caller loses nothing if
 * another endpoint fails or the silent one goes on.
 *
 * @example
 * ```ts
 * race.add(running, running.run(create));
 * const { result } = await race.decided();
 * ```
 */
export class AttemptRace {
  readonly #options: AttemptRaceOptions;
  readonly #running = new Set<RunningAttempt>();
  #onDecided: (ended: EndedAttempt) => void = () => undefined;
  #onFailed: (error: unknown) => void = () => undefined;

  constructor(options: AttemptRaceOptions) {
    this.#options = options;
  }

  /** Number of attempts in flight. */
  get size(): number {
    return this.#running.size;
  }

  /** Endpoints of the attempts in flight. */
  get endpointIds(): readonly string[] {
    return [...this.#running].map(({ view }) => view.id);
  }

  /** Whether the endpoints of all attempts in flight are silent. */
  get isSilent(): boolean {
    return [...this.#running].every(({ isSilent }) => isSilent);
  }

  /** Whether an endpoint of an attempt in flight may have run the request. */
  get mayHaveRun(): boolean {
    return [...this.#running].some(({ mayHaveRun }) => mayHaveRun);
  }

  /** Latest time at which the request was written to an endpoint, in epoch milliseconds. */
  get writtenAtMs(): number | undefined {
    const timesMs = [...this.#running].flatMap(({ writtenAtMs }) => writtenAtMs ?? []);
    return timesMs.length === 0 ? undefined : Math.max(...timesMs);
  }

  /** Adds an attempt that was started. */
  add(running: RunningAttempt, result: Promise<AttemptResult>): void {
    this.#running.add(running);
    result
      .then((ended) => {
        this.#end({ running, result: ended });
      })
      .catch((error: unknown) => {
        this.#running.delete(running);
        this.#onFailed(error);
      });
  }

  /**
   * Resolves with the end of the last attempt in flight, or with the one that answers the request.
   * Rejects when an attempt could not be made or its end not be recorded.
   */
  decided(): Promise<EndedAttempt> {
    return new Promise((resolve, reject) => {
      this.#onDecided = resolve;
      this.#onFailed = reject;
    });
  }

  /**
   * Asked before data of an attempt is forwarded; ends the others.
   *
   * @param hasContent - whether it is more than comments of a stream, which do not decide.
   */
  mayForward(running: RunningAttempt, hasContent: boolean): boolean {
    if (this.#running.size === 1) return this.#running.has(running);
    if (!hasContent || !this.#running.has(running)) return false;
    for (const other of this.#running) {
      if (other === running) continue;
      if (other.isSilent) other.giveUp();
      else other.abort('another endpoint goes on with the request');
    }
    return true;
  }

  /** Ends all attempts in flight. */
  abort(reason: string): void {
    for (const running of this.#running) running.abort(reason);
  }

  #end(ended: EndedAttempt): void {
    this.#running.delete(ended.running);
    const isDecisive = this.#options.isDecisive(ended.result);
    try {
      this.#options.onEnded(ended);
    } finally {
      if (isDecisive) this.abort('another endpoint has answered');
      if (isDecisive || this.#running.size === 0) this.#onDecided(ended);
    }
  }
}
