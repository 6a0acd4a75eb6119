import type { Clock, Random } from '../core/index.js';
import type { VmOffer } from './cloud-api.js';

/** Properties of an offer that a refusal applies to. */
export type OfferKind = Pick<VmOffer, 'failureDomain' | 'vmClass' | 'reclaimable'>;

/** A kind of offer that is not tried for a while because starts were refused. */
export interface BlockedOffer extends OfferKind {
  /** Consecutive refusals. */
  readonly refusals: number;
  /** Epoch milliseconds until which no start is tried. */
  readonly untilMs: number;
}

const baseDelayMs = 5_000;
const maxDelayMs = 300_000;

/**
 * Exponential backoff after refused starts, separately by failure domain, VM class and purchase
 * option, so that one exhausted pool does not delay the others.
 *
 * @example
 * ```ts
 * backoff.refused(offer);
 * backoff.isBlocked(offer); // true for about 5 s
 * ```
 */
export class RefusalBackoff {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #states = new Map<string, BlockedOffer>();

  constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  refused(offer: OfferKind): void {
    const refusals = (this.#states.get(keyOf(offer))?.refusals ?? 0) + 1;
    const delayMs = Math.min(maxDelayMs, baseDelayMs * 2 ** (refusals - 1));
    // Half fixed, half random, because controllers of several services share the exhausted pool.
    const untilMs = this.#clock.nowMs() + delayMs * (0.5 + this.#random.float() / 2);
    const { failureDomain, vmClass, reclaimable } = offer;
    this.#states.set(keyOf(offer), { failureDomain, vmClass, reclaimable, refusals, untilMs });
  }

  accepted(offer: OfferKind): void {
    this.#states.delete(keyOf(offer));
  }

  /** Kinds of offers that are blocked now. */
  blocked(): readonly BlockedOffer[] {
    const nowMs = this.#clock.nowMs();
    return [...this.#states.values()].filter(({ untilMs }) => untilMs > nowMs);
  }

  isBlocked(offer: OfferKind): boolean {
    return (this.#states.get(keyOf(offer))?.untilMs ?? 0) > this.#clock.nowMs();
  }
}

function keyOf({ failureDomain, vmClass, reclaimable }: OfferKind): string {
  return `${failureDomain} ${vmClass} ${reclaimable}`;
}
