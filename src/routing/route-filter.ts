import type { EndpointView } from '../fleet/index.js';
import type { LoadEstimate } from './load-estimate.js';
import type { RouteRequest } from './route-request.js';

/**
 * Excludes endpoints that must not receive a request. Subclass it to extend the router.
 *
 * @example
 * ```ts
 * class VersionFilter extends RouteFilter {
 *   override readonly reason = 'wrong version';
 *   override admits(view: EndpointView): boolean { return view.version === '2'; }
 * }
 * ```
 */
export abstract class RouteFilter {
  /** Shown in explanations for the endpoints that the filter excludes. */
  abstract readonly reason: string;

  /** Whether the filter is skipped when it would leave no candidate. */
  readonly isPreference: boolean = false;

  /** Whether the filter excludes no endpoint now; asked once for each decision. */
  isIdle(): boolean {
    return false;
  }

  abstract admits(
    view: EndpointView,
    request: RouteRequest,
    load: LoadEstimate,
    nowMs: number,
  ): boolean;
}
