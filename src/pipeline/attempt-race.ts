import { GenerationEventKind, type GenerationEvent } from '../engine/index.js';
import type { EndpointLease } from './endpoint-selector.js';

/** One attempt at an endpoint. @internal */
export class Attempt {
  readonly lease: EndpointLease;
  readonly abortController = new AbortController();
  /** Whether another attempt went on earlier. */
  hasLost = false;
  /** Whether nothing has arrived since its client reported a silence. */
  isSilent = false;
  /** Whether it was ended because it was silent at the deadline of the request. */
  isGivenUp = false;

  constructor(lease: EndpointLease) {
    this.lease = lease;
  }
}

/**
 * The attempts of a generation that are open at the same time. The first one that brings a token or
 * the end goes on, and the others are cancelled. While the one that goes on is silent, it is open
 * again which attempt goes on.
 *
 * @internal
 */
export class AttemptRace {
  readonly #open = new Set<Attempt>();
  #winner: Attempt | undefined;
  #isOver = false;

  /** Whether an attempt goes on, or all have ended. */
  get isDecided(): boolean {
    return this.#isOver || this.#winner !== undefined;
  }

  /** Whether attempts are open and all of them are silent. */
  get isSilent(): boolean {
    return !this.isDecided && [...this.#open].every(({ isSilent }) => isSilent);
  }

  /** Ids of the endpoints with an open attempt. */
  get endpointIds(): readonly string[] {
    return [...this.#open].map(({ lease }) => lease.endpointId);
  }

  add(lease: EndpointLease): Attempt {
    const attempt = new Attempt(lease);
    this.#open.add(attempt);
    return attempt;
  }

  /** Records an event of an attempt. Returns whether to relay it. */
  accept(attempt: Attempt, event: GenerationEvent): boolean {
    if (event.kind === GenerationEventKind.Silence) {
      attempt.isSilent = true;
      if (this.#winner === attempt) this.#winner = undefined;
      return false;
    }
    attempt.isSilent = false;
    if (this.#winner) return this.#winner === attempt;
    if (event.kind === GenerationEventKind.Heartbeat) return false;
    this.#winner = attempt;
    this.#cancelOthers(attempt);
    return true;
  }

  /**
   * Records the end of an attempt.
   *
   * @returns whether it ends the race: the attempt went on or is complete, or no other one is open.
   */
  end(attempt: Attempt, isComplete: boolean): boolean {
    this.#open.delete(attempt);
    const isDecisive = attempt === this.#winner || isComplete || this.#open.size === 0;
    if (this.#isOver || !isDecisive) return false;
    this.#isOver = true;
    return true;
  }

  #cancelOthers(winner: Attempt): void {
    for (const other of this.#open) {
      if (other === winner) continue;
      other.hasLost = true;
      other.abortController.abort();
    }
  }
}
