import { rendezvousOrder, type Random } from '../../src/core/index.js';
import { EndpointState, type EndpointView } from '../../src/fleet/index.js';
import type { Decision, RouteRequest, Router } from '../../src/routing/index.js';

/** Routing policies that the bench compares. */
export enum PolicyName {
  Router = 'router',
  Oracle = 'oracle',
  Random = 'random',
  RoundRobin = 'round robin',
  LeastReported = 'least reported load',
  TwoChoices = 'two random choices',
  PrefixHash = 'prefix hash, bounded load',
}

/** Policies without knowledge of the project's own, to compare against. */
export const baselines: readonly PolicyName[] = [
  PolicyName.Random,
  PolicyName.RoundRobin,
  PolicyName.LeastReported,
  PolicyName.TwoChoices,
  PolicyName.PrefixHash,
];

/** What a policy answers. */
export interface Choice {
  readonly endpoint: EndpointView;
  /** Present for the policies that run on {@link Router}. */
  readonly decision: Decision | undefined;
}

/** Chooses endpoints for one daemon. */
export abstract class RoutingPolicy {
  abstract choose(
    request: RouteRequest,
    views: readonly EndpointView[],
    nowMs: number,
  ): Choice | undefined;
}

/** The product's router. */
export class RouterPolicy extends RoutingPolicy {
  readonly #router: Router;

  constructor(router: Router) {
    super();
    this.#router = router;
  }

  override choose(
    request: RouteRequest,
    views: readonly EndpointView[],
    nowMs: number,
  ): Choice | undefined {
    const decision = this.#router.choose(request, views, nowMs);
    return decision.endpoint && { endpoint: decision.endpoint, decision };
  }
}

/** Baseline on the endpoints that are live and not yet tried. */
export class BaselinePolicy extends RoutingPolicy {
  readonly #name: PolicyName;
  readonly #random: Random;
  #turn: number;

  constructor(name: PolicyName, random: Random) {
    super();
    this.#name = name;
    this.#random = random;
    this.#turn = random.int(0, 1_000);
  }

  override choose(request: RouteRequest, views: readonly EndpointView[]): Choice | undefined {
    const candidates = views.filter(
      ({ id, state, leavingAtMs }) =>
        state === EndpointState.Live &&
        leavingAtMs === undefined &&
        !request.excludedEndpoints.includes(id),
    );
    if (candidates.length === 0) return undefined;
    return { endpoint: this.#pick(request, candidates), decision: undefined };
  }

  #pick(request: RouteRequest, candidates: readonly EndpointView[]): EndpointView {
    switch (this.#name) {
      case PolicyName.RoundRobin:
        return candidates[this.#turn++ % candidates.length]!;
      case PolicyName.LeastReported: {
        const least = Math.min(...candidates.map(reportedLoad));
        return this.#random.pick(candidates.filter((view) => reportedLoad(view) === least));
      }
      case PolicyName.TwoChoices: {
        const first = this.#random.pick(candidates);
        const second = this.#random.pick(candidates);
        return knownLoad(first) <= knownLoad(second) ? first : second;
      }
      case PolicyName.PrefixHash:
        return pickByPrefix(request, candidates);
      default:
        return this.#random.pick(candidates);
    }
  }
}

function reportedLoad({ report }: EndpointView): number {
  return report ? report.runningRequests + report.queuedRequests : 0;
}

/** The higher of the report and the daemon's own requests. */
function knownLoad(view: EndpointView): number {
  const { requests } = view.ownInFlight;
  return Math.max(reportedLoad(view), requests.short + requests.medium + requests.long);
}

/** Consistent hashing on the shared prefix; skips endpoints above 1.25 times the mean load. */
function pickByPrefix(request: RouteRequest, candidates: readonly EndpointView[]): EndpointView {
  const byId = new Map(candidates.map((view) => [view.id, view]));
  const mean = candidates.reduce((sum, view) => sum + knownLoad(view), 0) / candidates.length;
  const bound = Math.ceil(1.25 * (mean + 1 / candidates.length));
  const order = rendezvousOrder(String(request.prefix[0] ?? 0), [...byId.keys()]);
  const chosen = order.find((id) => knownLoad(byId.get(id)!) < bound) ?? order[0]!;
  return byId.get(chosen)!;
}
