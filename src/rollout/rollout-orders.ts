import type { Clock } from '../core/index.js';
import type { RolloutOrder, RolloutRequest } from './rollout-order.js';

/** Options of {@link RolloutOrders}. */
export interface RolloutOrdersOptions {
  readonly clock: Clock;
  /** Called with each new order. */
  readonly onOrder: (order: RolloutOrder) => void;
}

/** A copy of the orders that is older than this may hide one that was written meanwhile. */
const maxUsualAgeMs = 2_000;

/**
 * The latest order of each service. An order is told apart by its version: the same one written
 * again, as after a recovery of the store, changes nothing.
 */
export class RolloutOrders {
  readonly #options: RolloutOrdersOptions;
  readonly #orders = new Map<string, RolloutOrder>();
  #knownAsOfMs = -Infinity;
  #isFailing = false;

  constructor(options: RolloutOrdersOptions) {
    this.#options = options;
  }

  /** Newest order of each service. */
  all(): readonly RolloutOrder[] {
    return [...this.#orders.values()];
  }

  /** Records as of when the orders are known, in epoch milliseconds, and whether reads fail. */
  observeCopy(caughtUpAtMs: number | undefined, isFailing: boolean): void {
    this.#isFailing = isFailing;
    if (isFailing || caughtUpAtMs === undefined) return;
    this.#knownAsOfMs = caughtUpAtMs;
  }

  /**
   * Applies an order as it is read. One that is read after an outage may have been written at its
   * beginning, and its time runs from there.
   */
  receive({ serviceName, to, durationMs }: RolloutRequest): void {
    if (this.#orders.get(serviceName)?.to === to) return;
    const nowMs = this.#options.clock.nowMs();
    const isOld = this.#isFailing && this.#knownAsOfMs < nowMs - maxUsualAgeMs;
    const orderedAtMs = isOld && this.#knownAsOfMs > 0 ? this.#knownAsOfMs : nowMs;
    const order = { serviceName, to, orderedAtMs, deadlineAtMs: orderedAtMs + durationMs };
    this.#orders.set(serviceName, order);
    this.#options.onOrder(order);
  }
}
