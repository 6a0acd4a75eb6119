import type { Clock, Random } from '../core/index.js';
import type { VmOffer } from './cloud-api.js';

/** What a refusal holds for. */
export type OfferKind = Pick<VmOffer, 'failureDomain' | 'vmClass' | 'reclaimable'>;

/** Refused starts of one kind of offer. */
export interface BlockedOffer extends OfferKind {
  /** Refusals in a row. */
  readonly refusals: number;
  /** Epoch milliseconds until which none is tried. */
  readonly untilMs: number;
}

const baseDelayMs = 5_000;
const maxDelayMs = 300_000;

/**
 * Back-off after refused starts, separately by failure domain, class and way of buying, so that one
 * exhausted pool does not delay the others.
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
    // Half fixed, half random: controllers of several services share the exhausted pool.
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
