import type { EndpointView } from '../fleet/index.js';

/** Sends after which the oldest is forgotten, however old the report. */
const maxSends = 64;

/** Times of a router's own decisions by endpoint, to tell which of them a report contains. */
export class RecentSends {
  readonly #sentAtMs = new Map<string, number[]>();

  /** Notes that a request goes to the endpoint. */
  add(endpointId: string, nowMs: number): void {
    let times = this.#sentAtMs.get(endpointId);
    if (!times) {
      times = [];
      this.#sentAtMs.set(endpointId, times);
    }
    times.push(nowMs);
    if (times.length > maxSends) times.shift();
  }

  /** Own requests sent after the endpoint's newest report was made. */
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
