import type { EndpointView } from '../fleet/index.js';
import type { LoadEstimate } from './load-estimate.js';
import type { RouteRequest } from './route-request.js';

/**
 * One term of the expected cost of a request at an endpoint. Subclass it to extend the router.
 *
 * @example
 * ```ts
 * class CarbonScorer extends RouteScorer {
 *   override readonly name = 'carbon';
 *   override scoreUsd(view: EndpointView): number { return usdOfCarbon(view.region); }
 * }
 * ```
 */
export abstract class RouteScorer {
  /** Shown in explanations. */
  abstract readonly name: string;

  /** Cost in USD-equivalents, already weighted; lower is better. */
  abstract scoreUsd(view: EndpointView, request: RouteRequest, load: LoadEstimate): number;
}
