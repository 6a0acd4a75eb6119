import type { EndpointView } from '../fleet/index.js';

/** Maximum sends per endpoint; beyond it the oldest is dropped, regardless of the report's age. */
const maxSends = 64;

/** Times at which a router chose each endpoint, to determine which requests a report contains. */
export class RecentSends {
  readonly #sentAtMs = new Map<string, number[]>();

  /** Records that a request is sent to the endpoint. */
  add(endpointId: string, nowMs: number): void {
    let times = this.#sentAtMs.get(endpointId);
    if (!times) {
      times = [];
      this.#sentAtMs.set(endpointId, times);
    }
    times.push(nowMs);
    if (times.length > maxSends) times.shift();
  }

  /** Number of own requests sent after the endpoint's newest report was made. */
  countSinceReport(view: EndpointView): number {
    if (this.#sentAtMs.size === 0) return 0;
    const times = this.#sentAtMs.get(view.id);
    if (!times || !view.report) return 0;
    const { observedAtMs } = view.report;
    while (times.length > 0 && (times[0] ?? 0) <= observedAtMs) times.shift();
    if (times.length === 0) this.#sentAtMs.delete(view.id);
    return times.length;
  }
}
