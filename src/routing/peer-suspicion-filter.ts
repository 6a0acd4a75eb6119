import type { EndpointView } from '../fleet/index.js';
import type { PeerSuspicions } from '../fleet/peer-suspicions.js';
import type { LoadEstimate } from './load-estimate.js';
import { RouteFilter } from './route-filter.js';
import type { RouteRequest } from './route-request.js';

/** Avoids endpoints that other daemons could not reach, as long as there are others. */
export class PeerSuspicionFilter extends RouteFilter {
  override readonly reason = 'unreachable for other daemons';
  override readonly isPreference = true;
  readonly #suspicions: PeerSuspicions;

  constructor(suspicions: PeerSuspicions) {
    super();
    this.#suspicions = suspicions;
  }

  override isIdle(): boolean {
    return this.#suspicions.isEmpty;
  }

  override admits(
    view: EndpointView,
    _request: RouteRequest,
    _load: LoadEstimate,
    nowMs: number,
  ): boolean {
    return !this.#suspicions.isSuspected(view.id, nowMs);
  }
}
