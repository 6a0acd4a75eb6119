import type { Clock } from '../core/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import type { EndpointNotice } from './endpoint-notice.js';
import type { EndpointPauses } from './endpoint-pauses.js';
import type { EndpointRegistry } from './endpoint-registry.js';
import { isLeaving as isViewLeaving } from './endpoint-view.js';
import { LeavingSource } from './leaving-set.js';

/** Longest part of a header line that is logged. */
const maxLoggedChars = 120;

/**
 * Longest time from a start to its registration here, in milliseconds. A notice that came later
 * after the start of a process, by that process's clock, is not taken for its own.
 */
const maxRegistrationLagMs = 60_000;

/** Options of {@link EndpointNotices}. */
export interface EndpointNoticesOptions {
  readonly registry: EndpointRegistry;
  readonly pauses: EndpointPauses;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Called when an endpoint says that it leaves and nothing has said so before. */
  readonly onLeaving?: (endpointId: string) => void;
  /**
   * Called when a process seems to have said that it leaves before its start was known, `ageMs`
   * milliseconds ago: under the identity of the one before it.
   */
  readonly onEarlyLeaving?: (endpointId: string, ageMs: number) => void;
}

/**
 * Applies what endpoints say of themselves in responses: the one place at which their leaving by a
 * response joins that by discovery, and at which pauses begin.
 *
 * @example
 * ```ts
 * notices.apply(view.id, codec.describeResponse(status, headers).notice);
 * ```
 */
export class EndpointNotices {
  readonly #options: EndpointNoticesOptions;
  /** Latest response by which an endpoint said that it leaves, in epoch milliseconds. */
  readonly #toldLeavingAtMs = new Map<string, number>();

  constructor(options: EndpointNoticesOptions) {
    this.#options = options;
    const { registry } = options;
    registry.onRestart((previousId, id, startedAtMs) => {
      this.#onRestart(previousId, id, startedAtMs);
    });
    registry.onRetire((endpointId) => {
      this.#toldLeavingAtMs.delete(endpointId);
    });
  }

  /**
   * Applies the notice of a response.
   *
   * @param endpointId - identity of the process that sent it; one that is gone is ignored.
   */
  apply(endpointId: string, { isLeaving, pauseMs, unreadable }: EndpointNotice): void {
    const { registry, pauses, clock, events } = this.#options;
    if (isLeaving) this.#recordLeaving(endpointId);
    if (pauseMs !== undefined && registry.view(endpointId)) {
      const nowMs = clock.nowMs();
      pauses.record(endpointId, nowMs + pauseMs, nowMs);
    }
    for (const line of unreadable) {
      events.warn(EventId.NoticeUnreadable, 'header of an endpoint is not understood; ignored', {
        endpoint: endpointId,
        header: line.slice(0, maxLoggedChars),
      });
    }
  }

  #recordLeaving(endpointId: string): void {
    const { registry, clock, onLeaving } = this.#options;
    const view = registry.view(endpointId);
    if (!view) return;
    this.#toldLeavingAtMs.set(endpointId, clock.nowMs());
    registry.recordDraining(endpointId, LeavingSource.Response);
    if (!isViewLeaving(view)) onLeaving?.(endpointId);
  }

  /**
   * A process that starts again under its id and address answers requests before its registration is
   * known, under the identity of the one before. What was said since its start is its own. By clocks
   * that differ it may be the earlier one's: a pause ends by itself, and a leaving that is not sure is
   * no leaving for good.
   */
  #onRestart(previousId: string, id: string, startedAtMs: number): void {
    const { pauses, clock, onEarlyLeaving } = this.#options;
    const nowMs = clock.nowMs();
    if (startedAtMs < nowMs - maxRegistrationLagMs) return;
    pauses.carryOver(previousId, id, startedAtMs);
    const toldAtMs = this.#toldLeavingAtMs.get(previousId);
    if (toldAtMs !== undefined && toldAtMs >= startedAtMs) onEarlyLeaving?.(id, nowMs - toldAtMs);
  }
}
