import { WorkClass } from '../core/index.js';
import { EndpointState, isLeaving, type EndpointView } from '../fleet/index.js';
import type { LoadEstimate } from './load-estimate.js';
import { RouteFilter } from './route-filter.js';
import type { RouteRequest } from './route-request.js';

/** Admits endpoints of the request's service only. */
export class ServiceFilter extends RouteFilter {
  override readonly reason = 'serves another service';

  override admits(view: EndpointView, request: RouteRequest): boolean {
    return view.serviceId === request.serviceId;
  }
}

/** Excludes endpoints that are starting or suspect. */
export class LiveFilter extends RouteFilter {
  override readonly reason = 'not live';

  override admits(view: EndpointView): boolean {
    return view.state === EndpointState.Live || view.state === EndpointState.Leaving;
  }
}

/** Excludes endpoints that were announced or observed to leave. */
export class LeavingFilter extends RouteFilter {
  override readonly reason = 'leaving';

  override admits(view: EndpointView): boolean {
    return !isLeaving(view);
  }
}

/** Excludes endpoints that have not loaded the model or adapter. */
export class LoadedModelFilter extends RouteFilter {
  override readonly reason = 'model not loaded';

  override admits(view: EndpointView, request: RouteRequest): boolean {
    return request.model === '' || view.loadedModels.includes(request.model);
  }
}

/** Excludes endpoints that ignore fencing tokens, for work that relies on these tokens. */
export class FenceFilter extends RouteFilter {
  override readonly reason = 'does not check fencing tokens';

  override admits(view: EndpointView, request: RouteRequest): boolean {
    return !request.requiresFence || view.checksFence;
  }
}

/** Excludes endpoints whose recent requests failed. */
export class CircuitFilter extends RouteFilter {
  override readonly reason = 'circuit open';

  override admits(
    view: EndpointView,
    _request: RouteRequest,
    _load: LoadEstimate,
    nowMs: number,
  ): boolean {
    return view.circuitOpenUntilMs <= nowMs;
  }
}

/** Excludes endpoints that already failed the request or run its other copy. */
export class AttemptedFilter extends RouteFilter {
  override readonly reason = 'already tried';

  override admits(view: EndpointView, request: RouteRequest): boolean {
    return !request.excludedEndpoints.includes(view.id);
  }
}

/** Excludes endpoints in other regions when the service does not spill over. */
export class RegionFilter extends RouteFilter {
  override readonly reason = 'in another region';
  readonly #region: string;

  /** @param region - region of the daemon. */
  constructor(region: string) {
    super();
    this.#region = region;
  }

  override admits(view: EndpointView, request: RouteRequest): boolean {
    return request.spillOver || view.region === this.#region;
  }
}

/**
 * Prefers endpoints with free capacity. Short work may use every batch slot; other work leaves the
 * reserve free, so that short work does not wait behind it.
 */
export class CapacityFilter extends RouteFilter {
  override readonly reason = 'no free capacity for the class';
  override readonly isPreference = true;

  override admits(view: EndpointView, request: RouteRequest, load: LoadEstimate): boolean {
    const reserve = request.workClass === WorkClass.Short ? 0 : request.shortReserveRatio;
    return load.requests + 1 <= view.batchSlots * (1 - reserve);
  }
}

/** Filters of a daemon in `region`, cheapest and most selective first. */
export function standardFilters(region: string): RouteFilter[] {
  return [
    new ServiceFilter(),
    new LiveFilter(),
    new LeavingFilter(),
    new LoadedModelFilter(),
    new FenceFilter(),
    new CircuitFilter(),
    new AttemptedFilter(),
    new RegionFilter(region),
    new CapacityFilter(),
  ];
}
