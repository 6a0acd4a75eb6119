import type { EndpointPauses } from '../fleet/endpoint-pauses.js';
import type { EndpointView } from '../fleet/index.js';
import type { LoadEstimate } from './load-estimate.js';
import { RouteFilter } from './route-filter.js';
import type { RouteRequest } from './route-request.js';

/** Excludes endpoints that have asked this daemon for a pause, and those being probed after one. */
export class PauseFilter extends RouteFilter {
  override readonly reason = 'paused';
  readonly #pauses: EndpointPauses;

  constructor(pauses: EndpointPauses) {
    super();
    this.#pauses = pauses;
  }

  override isIdle(): boolean {
    return this.#pauses.isEmpty;
  }

  override admits(
    view: EndpointView,
    _request: RouteRequest,
    _load: LoadEstimate,
    nowMs: number,
  ): boolean {
    return this.#pauses.nextTryAtMs(view.id, nowMs) === undefined;
  }
}
