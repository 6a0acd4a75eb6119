import type { EndpointView } from '../fleet/index.js';
import type { PeerLeavings } from '../fleet/peer-leavings.js';
import type { LoadEstimate } from './load-estimate.js';
import { RouteFilter } from './route-filter.js';
import type { RouteRequest } from './route-request.js';

/** Avoids endpoints that have told other daemons that they leave, as long as there are others. */
export class PeerLeavingFilter extends RouteFilter {
  override readonly reason = 'leaving, as other daemons were told';
  override readonly isPreference = true;
  readonly #leavings: PeerLeavings;

  constructor(leavings: PeerLeavings) {
    super();
    this.#leavings = leavings;
  }

  override isIdle(): boolean {
    return this.#leavings.isEmpty;
  }

  override admits(
    view: EndpointView,
    _request: RouteRequest,
    _load: LoadEstimate,
    nowMs: number,
  ): boolean {
    return !this.#leavings.isLeaving(view.id, nowMs);
  }
}
