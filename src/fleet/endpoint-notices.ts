import type { Clock } from '../core/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import type { EndpointNotice } from './endpoint-notice.js';
import type { EndpointPauses } from './endpoint-pauses.js';
import type { EndpointRegistry } from './endpoint-registry.js';
import { isLeaving as isViewLeaving } from './endpoint-view.js';
import { LeavingSource } from './leaving-set.js';

/** Longest part of a header line that is logged. */
const maxLoggedChars = 120;

/** Options of {@link EndpointNotices}. */
export interface EndpointNoticesOptions {
  readonly registry: EndpointRegistry;
  readonly pauses: EndpointPauses;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Called when an endpoint says that it leaves and nothing has said so before. */
  readonly onLeaving?: (endpointId: string) => void;
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

  constructor(options: EndpointNoticesOptions) {
    this.#options = options;
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
    const { registry, onLeaving } = this.#options;
    const view = registry.view(endpointId);
    if (!view) return;
    registry.recordDraining(endpointId, LeavingSource.Response);
    if (!isViewLeaving(view)) onLeaving?.(endpointId);
  }
}
