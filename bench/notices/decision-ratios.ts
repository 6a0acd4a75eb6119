import { Random, VirtualClock, WorkClass } from '../../src/core/index.js';
import { EndpointPauses, RegisteredEndpoints, type EndpointView } from '../../src/fleet/index.js';
import { PeerLeavings } from '../../src/fleet/peer-leavings.js';
import { EndpointKnowledge } from '../../src/gateway/endpoint-knowledge.js';
import {
  PauseFilter,
  PeerLeavingFilter,
  PeerSuspicionFilter,
  Router,
  standardFilters,
  type RouteRequest,
} from '../../src/routing/index.js';
import { NullEventLog, NullMetrics } from '../../src/telemetry/index.js';

const region = 'litoral';
const serviceName = 'orders';
const rounds = 60;
const decisionsPerRound = 300;

/** CPU time of a decision relative to that of a router that knows no notices. */
export interface DecisionRatio {
  readonly name: string;
  /** Median over rounds in which the routers took turns. */
  readonly ratio: number;
}

/** What a router knows of notices. */
interface Variant {
  readonly name: string;
  readonly choose: (index: number) => void;
}

/** Compares decisions over `count` endpoints with and without notices, in one process. */
export function measureDecisionRatios(count: number): DecisionRatio[] {
  const clock = new VirtualClock();
  const events = new NullEventLog();
  const known = new EndpointKnowledge({
    daemon: 'entry-1',
    region,
    random: new Random(5),
    clock,
    events,
    metrics: new NullMetrics(),
  });
  const views = registeredViews(known, clock, count);
  const nowMs = clock.nowMs();
  const base = variant('none known', known, views, nowMs, 0, 0, false);
  const variants = [
    variant('no notices', known, views, nowMs, 0, 0),
    variant('one pause', known, views, nowMs, 1, 0),
    variant('a third in a pause', known, views, nowMs, Math.floor(count / 3), 0),
    variant('one leaving told by a peer', known, views, nowMs, 0, 1),
    variant('a third in a pause, a third leaving', known, views, nowMs, count / 3, count / 3),
  ];
  for (const { choose } of [base, ...variants]) timeOf(choose);
  const ratios = variants.map((): number[] => []);
  for (let round = 0; round < rounds; round++) {
    const before = timeOf(base.choose);
    const times = variants.map(({ choose }) => timeOf(choose));
    const after = timeOf(base.choose);
    times.forEach((time, index) => ratios[index]!.push((2 * time) / (before + after)));
  }
  return variants.map(({ name }, index) => ({ name, ratio: median(ratios[index]!) }));
}

function variant(
  name: string,
  known: EndpointKnowledge,
  views: readonly EndpointView[],
  nowMs: number,
  paused: number,
  leaving: number,
  knowsNotices = true,
): Variant {
  const events = new NullEventLog();
  const pauses = new EndpointPauses({ events, metrics: new NullMetrics() });
  const leavings = new PeerLeavings({ events });
  views.forEach(({ id }, index) => {
    if (index < paused) pauses.record(id, nowMs + 5_000, nowMs);
    else if (index < paused + leaving) leavings.report(id, 'entry-2', 0, nowMs);
  });
  const notices = [new PauseFilter(pauses), new PeerLeavingFilter(leavings)];
  const router = new Router({
    daemonId: 'entry-1',
    region,
    random: new Random(5),
    caches: known.caches,
    filters: [
      ...standardFilters(region),
      ...(knowsNotices ? notices : []),
      new PeerSuspicionFilter(known.suspicions),
    ],
  });
  return {
    name,
    choose: (index) => {
      router.choose(newRequest(index, nowMs), views, nowMs);
    },
  };
}

function registeredViews(
  known: EndpointKnowledge,
  clock: VirtualClock,
  count: number,
): readonly EndpointView[] {
  const { registry } = known;
  const endpoints = new RegisteredEndpoints({
    registry,
    clock,
    events: new NullEventLog(),
    knownAsOfMs: () => clock.nowMs(),
    outageEndedAtMs: () => -Infinity,
  });
  for (let index = 0; index < count; index++) {
    endpoints.register({
      instanceId: `i-${index}`,
      serviceName,
      baseUrl: `http://10.0.0.${index}:80`,
      region,
      failureDomain: `${region}-${index % 4}`,
      batchSlots: 8,
      startedAtMs: clock.nowMs(),
      isDraining: false,
      leavingAtMs: undefined,
      reclaimable: true,
    });
  }
  return registry.views(endpoints.serviceId(serviceName));
}

function newRequest(index: number, nowMs: number): RouteRequest {
  return {
    requestId: `r${index}`,
    workspaceId: 'quotes',
    serviceId: `registered/${serviceName}`,
    model: '',
    workClass: WorkClass.Short,
    promptTokens: 0,
    expectedOutputTokens: 0,
    prefix: [],
    deadlineAtMs: nowMs + 3_000,
    weights: { weight_cost: 0, weight_wait: 1, weight_tail: 1, weight_recompute: 0.03 },
    objectiveFirstTokenMs: 200,
    objectiveBetweenTokensMs: 66,
    spillOver: true,
    shortReserveRatio: 0,
    subsetSize: 1_000,
    repeatable: true,
    requiresFence: false,
    excludedEndpoints: [],
  };
}

/** CPU time of a round of decisions, in microseconds. */
function timeOf(choose: (index: number) => void): number {
  const before = process.cpuUsage();
  for (let index = 0; index < decisionsPerRound; index++) choose(index);
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[values.length >> 1] ?? 0;
}
