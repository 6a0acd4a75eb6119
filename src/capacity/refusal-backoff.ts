import type { Clock, Random } from '../core/index.js';
import type { VmOffer } from './cloud-api.js';

type OfferKind = Pick<VmOffer, 'failureDomain' | 'vmClass' | 'reclaimable'>;

const baseMs = 5_000;
const maxMs = 300_000;

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
  readonly #states = new Map<string, { refusals: number; untilMs: number }>();

  constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  refused(offer: OfferKind): void {
    const refusals = (this.#states.get(keyOf(offer))?.refusals ?? 0) + 1;
    const fullMs = Math.min(maxMs, baseMs * 2 ** (refusals - 1));
    // Half fixed, half random: controllers of several services share the exhausted pool.
    const untilMs = this.#clock.nowMs() + fullMs * (0.5 + this.#random.float() / 2);
    this.#states.set(keyOf(offer), { refusals, untilMs });
  }

  accepted(offer: OfferKind): void {
    this.#states.delete(keyOf(offer));
  }

  isBlocked(offer: OfferKind): boolean {
    return (this.#states.get(keyOf(offer))?.untilMs ?? 0) > this.#clock.nowMs();
  }
}

function keyOf({ failureDomain, vmClass, reclaimable }: OfferKind): string {
  return `${failureDomain} ${vmClass} ${reclaimable}`;
}
