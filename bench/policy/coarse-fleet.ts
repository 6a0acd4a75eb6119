import { Random, VirtualClock, WorkClass } from '../../src/core/index.js';
import { PrefixCacheIndex } from '../../src/fleet/prefix-cache-index.js';
import type { EndpointView } from '../../src/fleet/index.js';
import { Router, SubsetSelector, type RouteRequest } from '../../src/routing/index.js';
import { BaselinePolicy, PolicyName, RouterPolicy, type RoutingPolicy } from './policies.js';
import { serviceId, simulatedView } from './simulated-view.js';

/** Options of {@link runCoarseFleet}. */
export interface CoarseFleetOptions {
  readonly policy: PolicyName;
  readonly seed: number;
  readonly endpoints: number;
  readonly daemons: number;
  readonly load: number;
  readonly measureMs: number;
}

/** How evenly a policy spreads requests over a large fleet. */
export interface CoarseFleetResult {
  readonly policy: PolicyName;
  /** Standard deviation of the load over its mean across endpoints, averaged over time. */
  readonly variation: number;
  /** Share of requests that found all batch slots of their endpoint busy. */
  readonly queuedRatio: number;
  readonly p99QueueMs: number;
  /** Largest load of an endpoint seen, in requests; the mean is the load times the batch slots. */
  readonly maxRequests: number;
}

const slots = 8;
const meanServiceMs = 8_000;
const reportPeriodMs = 500;
const reportLagMs = 500;
const regions = 6;
const failureDomains = 24;

interface CoarseEndpoint {
  readonly view: EndpointView;
  running: number;
  readonly queue: { readonly atMs: number; readonly ended: () => void }[];
  reported: number;
}

/**
 * Large fleet with endpoints reduced to slots, a queue and a random service time: enough to see
 * whether daemons that do not see each other's requests herd.
 */
export function runCoarseFleet(options: CoarseFleetOptions): CoarseFleetResult {
  const clock = new VirtualClock(0);
  const random = new Random(options.seed);
  const endpoints = Array.from({ length: options.endpoints }, (_, index) => newEndpoint(index));
  const daemons = Array.from({ length: options.daemons }, (_, index) => {
    const id = `entry-${index}`;
    const region = `region-${index % regions}`;
    const views = new SubsetSelector(id).select(
      endpoints.map(({ view }) => view),
      128,
    );
    const byId = new Map(endpoints.map((endpoint) => [endpoint.view.id, endpoint]));
    return {
      policy: newPolicy(options.policy, id, region, random.fork()),
      subset: views.map(({ id: endpointId }) => byId.get(endpointId)!),
      own: new Map<CoarseEndpoint, number>(),
    };
  });
  const meanGapMs = meanServiceMs / (options.endpoints * slots * options.load);
  const warmUpEndMs = 2 * meanServiceMs;
  const endMs = warmUpEndMs + options.measureMs;
  const queueMs: number[] = [];
  let requests = 0;
  let queued = 0;
  let variation = 0;
  let samples = 0;
  let maxRequests = 0;

  const start = (endpoint: CoarseEndpoint, atMs: number, ended: () => void): void => {
    endpoint.running += 1;
    if (atMs >= warmUpEndMs) queueMs.push(clock.nowMs() - atMs);
    clock.schedule(clock.nowMs() + random.exponential(meanServiceMs), () => {
      endpoint.running -= 1;
      ended();
      const next = endpoint.queue.shift();
      if (next) start(endpoint, next.atMs, next.ended);
    });
  };
  const arrive = (): void => {
    const nowMs = clock.nowMs();
    if (nowMs >= endMs) return;
    const daemon = random.pick(daemons);
    const views = daemon.subset.map((endpoint) =>
      viewOf(endpoint, daemon.own.get(endpoint) ?? 0, nowMs),
    );
    const choice = daemon.policy.choose(routeRequest, views, nowMs);
    const endpoint = endpoints[Number(choice?.endpoint.id ?? 0)]!;
    daemon.own.set(endpoint, (daemon.own.get(endpoint) ?? 0) + 1);
    const ended = (): void => {
      daemon.own.set(endpoint, (daemon.own.get(endpoint) ?? 1) - 1);
    };
    const isMeasured = nowMs >= warmUpEndMs;
    if (isMeasured) requests += 1;
    if (endpoint.running < slots) {
      start(endpoint, nowMs, ended);
    } else {
      if (isMeasured) queued += 1;
      endpoint.queue.push({ atMs: nowMs, ended });
    }
    clock.schedule(nowMs + random.exponential(meanGapMs), arrive);
  };
  clock.schedule(0, arrive);
  clock.every(reportPeriodMs, () => {
    const loads = endpoints.map(({ running, queue }) => running + queue.length);
    clock.schedule(clock.nowMs() + reportLagMs, () => {
      for (const [index, endpoint] of endpoints.entries()) endpoint.reported = loads[index] ?? 0;
    });
    if (clock.nowMs() < warmUpEndMs || clock.nowMs() > endMs) return;
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    const squares = loads.reduce((sum, load) => sum + (load - mean) ** 2, 0) / loads.length;
    variation += Math.sqrt(squares) / mean;
    maxRequests = Math.max(maxRequests, ...loads);
    samples += 1;
  });
  clock.runUntil(endMs);
  queueMs.sort((a, b) => a - b);
  return {
    policy: options.policy,
    variation: variation / samples,
    queuedRatio: queued / requests,
    p99QueueMs: queueMs[Math.floor(queueMs.length * 0.99)] ?? 0,
    maxRequests,
  };
}

function newPolicy(
  policy: PolicyName,
  daemonId: string,
  region: string,
  random: Random,
): RoutingPolicy {
  if (policy !== PolicyName.Router) return new BaselinePolicy(policy, random);
  return new RouterPolicy(new Router({ daemonId, region, random, caches: new PrefixCacheIndex() }));
}

function newEndpoint(index: number): CoarseEndpoint {
  const domain = index % failureDomains;
  return {
    running: 0,
    queue: [],
    reported: 0,
    view: simulatedView(String(index), {
      region: `region-${domain % regions}`,
      failureDomain: `domain-${domain}`,
      batchSlots: slots,
      speed: { tokenGapMs: 30, prefillTokensPerS: 8_000, slowdownRatio: 1 },
    }),
  };
}

function viewOf(endpoint: CoarseEndpoint, own: number, nowMs: number): EndpointView {
  return {
    ...endpoint.view,
    ownInFlight: { requests: { short: own, medium: 0, long: 0 }, pendingTokens: 0 },
    report: {
      runningRequests: endpoint.reported,
      queuedRequests: 0,
      kvUsedRatio: 0,
      observedAtMs: nowMs - reportLagMs,
      receivedAtMs: nowMs,
    },
  };
}

const routeRequest: RouteRequest = {
  requestId: 'r',
  workspaceId: 'team/w',
  serviceId,
  model: 'base',
  workClass: WorkClass.Short,
  promptTokens: 1_000,
  expectedOutputTokens: 270,
  prefix: [],
  deadlineAtMs: Infinity,
  weights: { weight_cost: 1, weight_wait: 1, weight_tail: 1, weight_recompute: 1 },
  objectiveFirstTokenMs: 1_900,
  objectiveBetweenTokensMs: 66,
  spillOver: true,
  shortReserveRatio: 0.25,
  subsetSize: 128,
  repeatable: true,
  requiresFence: false,
  excludedEndpoints: [],
};
