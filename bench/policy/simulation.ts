import { Outcome, Random, VirtualClock, WorkClass } from '../../src/core/index.js';
import type { CacheEvent } from '../../src/fleet/prefix-cache-index.js';
import { EndpointState, type EndpointView } from '../../src/fleet/index.js';
import { AttemptObserver, type Decision, type RouteRequest } from '../../src/routing/index.js';
import { limitsSchema } from '../../src/settings/index.js';
import type { EndpointGroup } from './deployments.js';
import {
  defaultEngineModel,
  SimulatedEngine,
  type EngineModel,
  type EngineUsage,
} from './engine.js';
import { PolicyName, type Choice } from './policies.js';
import {
  noFaults,
  RequestEnd,
  type FaultKnobs,
  type RequestRecord,
  type RunOptions,
  type RunResult,
} from './run-record.js';
import { SimulatedDaemon, SimulatedEndpoint, Task, type Attempt } from './simulated-daemon.js';
import { serviceId } from './simulated-view.js';
import { generateWorkload } from './workload.js';

const limits = limitsSchema.parse({ rate_per_s: '100000', burst_requests: '100000' });
const settings = {
  max_attempts: 3,
  retry_ratio: 0.1,
  hedge_ratio: 0.02,
  short_reserve_ratio: 0.25,
};
const startMs = 1_000_000;

/** KV cache of a token in bytes, and the rate of transfers within a region. */
const kvBytesPerToken = 64 * 1_024;
const kvBytesPerMs = 125_000;
const kvImportMs = 300;

class Simulation {
  readonly #options: RunOptions;
  readonly #knobs: FaultKnobs;
  readonly #clock = new VirtualClock(startMs);
  readonly #random: Random;
  readonly #model: EngineModel;
  readonly #endpoints = new Map<string, SimulatedEndpoint>();
  readonly #daemons: SimulatedDaemon[] = [];
  readonly #tasks: Task[] = [];
  readonly #warmUpEndMs: number;
  readonly #measureEndMs: number;
  #attemptId = 0;
  #variationSum = 0;
  #queuedBesideFree = 0;
  #utilisationSum = 0;
  #sampleCount = 0;

  constructor(options: RunOptions) {
    this.#options = options;
    this.#knobs = { ...noFaults, ...options.knobs };
    this.#model = { ...defaultEngineModel, ...options.model };
    this.#random = new Random(options.seed * 7_919 + 17);
    this.#warmUpEndMs = startMs + (options.warmUpMs ?? 120_000);
    this.#measureEndMs = this.#warmUpEndMs + (options.measureMs ?? 300_000);
    let index = 0;
    for (const group of options.shape.endpoints) {
      for (let count = 0; count < group.count; count++) this.#addEndpoint(`e${index++}:1`, group);
    }
    const regions = options.shape.endpoints.flatMap(({ region, count }) =>
      new Array<string>(count).fill(region),
    );
    const daemons = options.daemons ?? 7;
    for (let number = 0; number < daemons; number++) {
      const region = regions[Math.floor((number * regions.length) / daemons)] ?? '';
      const daemon = new SimulatedDaemon(
        `entry-${number}`,
        region,
        options,
        this.#clock,
        this.#random.fork(),
        this.#endpoints,
      );
      for (const id of this.#endpoints.keys()) daemon.speeds.add(id, 'standard');
      this.#daemons.push(daemon);
    }
  }

  run(): RunResult {
    const { shape, seed, load, longRatio, longFactor, bigWorkspacesFactor } = this.#options;
    const workload = generateWorkload({
      shape,
      model: this.#model,
      seed,
      load,
      startMs,
      durationMs: this.#measureEndMs - startMs,
      ...(longRatio === undefined ? {} : { longRatio }),
      ...(longFactor === undefined ? {} : { longFactor }),
      ...(bigWorkspacesFactor === undefined ? {} : { bigWorkspacesFactor }),
    });
    const arrivals = this.#random.fork();
    for (const request of workload) {
      const daemon = arrivals.pick(this.#daemons);
      const task = new Task(request);
      this.#tasks.push(task);
      this.#clock.schedule(request.arrivalMs, () => {
        this.#arrive(daemon, task);
      });
    }
    this.#clock.every(this.#knobs.reportPeriodMs, () => {
      this.#report();
    });
    this.#clock.every(1_000, () => {
      this.#gossip();
    });
    this.#clock.every(500, () => {
      for (const daemon of this.#daemons) this.#tickDaemon(daemon);
    });
    this.#clock.every(100, () => {
      this.#sample();
    });
    this.#scheduleFaults();
    this.#clock.runUntil(this.#measureEndMs);
    // Long work is followed to its end, without new arrivals.
    const lastDeadlineMs = Math.max(...workload.map(({ deadlineAtMs }) => deadlineAtMs));
    while (
      this.#clock.nowMs() < lastDeadlineMs + 10_000 &&
      this.#daemons.some(({ open }) => open.size > 0)
    ) {
      this.#clock.runUntil(this.#clock.nowMs() + 10_000);
    }
    return {
      records: this.#tasks.map(toRecord),
      samples: {
        variation: this.#variationSum / this.#sampleCount,
        queuedBesideFree: this.#queuedBesideFree / this.#sampleCount,
        utilisation: this.#utilisationSum / this.#sampleCount,
      },
      warmUpEndMs: this.#warmUpEndMs,
      measureEndMs: this.#measureEndMs,
    };
  }

  #addEndpoint(id: string, group: EndpointGroup): void {
    const engine = new SimulatedEngine(id, this.#model, this.#clock, (change) => {
      endpoint.cacheSequence += 1;
      const event: CacheEvent = {
        ...change,
        sequence: endpoint.cacheSequence,
        observedAtMs: this.#clock.nowMs(),
      };
      if (this.#options.policy !== PolicyName.Router) return;
      this.#clock.schedule(this.#clock.nowMs() + this.#knobs.cacheEventLagMs, () => {
        for (const { caches } of this.#daemons) {
          if (this.#random.float() >= this.#knobs.cacheEventLossRatio) caches.apply(id, event);
        }
      });
    });
    const endpoint = new SimulatedEndpoint(id, group, engine);
    this.#endpoints.set(id, endpoint);
    for (const daemon of this.#daemons) daemon.speeds.add(id, 'standard');
  }

  // Requests.

  #arrive(daemon: SimulatedDaemon, task: Task): void {
    const { request } = task;
    const workspaceId = `team/w${request.workspace}`;
    const prediction = daemon.lengths.predict(
      { workspaceId, serviceId, workloadKey: String(request.blocks[0]) },
      { maxTokens: 32_768, defaultClass: request.kind.workClass },
    );
    task.workClass = prediction.workClass;
    task.expectedOutputTokens = prediction.expectedOutputTokens;
    if (this.#options.policy === PolicyName.Oracle) {
      task.expectedOutputTokens = request.outputTokens;
    }
    daemon.retryBudget.recordRequest(workspaceId, settings.retry_ratio);
    daemon.hedges.recordRequest(workspaceId, settings.hedge_ratio);
    daemon.open.add(task);
    daemon.admission.offer(
      {
        requestId: String(request.index),
        workspaceId,
        serviceId,
        workClass: task.workClass,
        costTokens: task.expectedOutputTokens + request.promptTokens / 20,
        expectedUsd: 0,
        startByMs: request.startByMs,
        fairWeight: 1,
        limits,
      },
      {
        admitted: (ticket) => {
          task.ticket = ticket;
          this.#send(daemon, task, true);
        },
        refused: () => {
          this.#finish(daemon, task, RequestEnd.Refused);
        },
      },
    );
  }

  #routeRequest(daemon: SimulatedDaemon, task: Task): RouteRequest {
    const { shape } = this.#options;
    const { request } = task;
    const isOracle = this.#options.policy === PolicyName.Oracle;
    return {
      requestId: String(request.index),
      workspaceId: `team/w${request.workspace}`,
      serviceId,
      model: 'base',
      workClass: task.workClass,
      promptTokens: request.promptTokens + task.delivered,
      expectedOutputTokens: Math.max(1, task.expectedOutputTokens - task.delivered),
      prefix: request.blocks,
      deadlineAtMs: request.deadlineAtMs,
      weights: shape.weights,
      objectiveFirstTokenMs: shape.objectiveFirstTokenMs,
      objectiveBetweenTokensMs: shape.objectiveBetweenTokensMs,
      spillOver: true,
      shortReserveRatio: isOracle ? 0 : settings.short_reserve_ratio,
      subsetSize: 128,
      repeatable: true,
      requiresFence: false,
      excludedEndpoints: task.tried,
    };
  }

  #views(daemon: SimulatedDaemon): EndpointView[] {
    const isOracle = this.#options.policy === PolicyName.Oracle;
    const nowMs = this.#clock.nowMs();
    const views: EndpointView[] = [];
    for (const endpoint of this.#endpoints.values()) {
      const { view, engine } = endpoint;
      const leavingAtMs = daemon.known.get(view.id);
      if (isOracle) {
        if (engine.isDead || endpoint.leavingAtMs !== undefined) continue;
        views.push({
          ...view,
          report: {
            runningRequests: engine.runningRequests,
            queuedRequests: engine.queuedRequests + endpoint.inTransit,
            kvUsedRatio: 0,
            observedAtMs: nowMs,
            receivedAtMs: nowMs,
          },
          speed: {
            tokenGapMs: engine.stepMs,
            prefillTokensPerS: engine.model.prefillTokensPerS / engine.slowdown,
            slowdownRatio: engine.slowdown,
          },
        });
        continue;
      }
      const requests = daemon.own.get(view.id) ?? { short: 0, medium: 0, long: 0 };
      views.push({
        ...view,
        state: leavingAtMs === undefined ? EndpointState.Live : EndpointState.Leaving,
        leavingAtMs,
        ownInFlight: { requests, pendingTokens: 0 },
        report: endpoint.report,
        speed: daemon.speeds.speed(view.id),
      });
    }
    return views;
  }

  #choose(daemon: SimulatedDaemon, task: Task, region?: string): Choice | undefined {
    let views = this.#views(daemon);
    if (region !== undefined) {
      const inRegion = views.filter(
        (view) => view.region === region && view.state === EndpointState.Live,
      );
      if (inRegion.some(({ id }) => !task.tried.includes(id))) views = inRegion;
    }
    return daemon.policy.choose(this.#routeRequest(daemon, task), views, this.#clock.nowMs());
  }

  #send(daemon: SimulatedDaemon, task: Task, mayHedge: boolean): void {
    const nowMs = this.#clock.nowMs();
    const choice = this.#choose(daemon, task);
    if (!choice) {
      if (nowMs >= task.request.startByMs && task.request.kind.workClass !== WorkClass.Long) {
        this.#finish(
          daemon,
          task,
          task.startedAttempts > 0 ? RequestEnd.Broken : RequestEnd.Refused,
        );
        return;
      }
      task.tried.length = 0;
      this.#clock.schedule(nowMs + 200, () => {
        if (task.end === RequestEnd.Open) this.#send(daemon, task, mayHedge);
      });
      return;
    }
    this.#dispatch(daemon, task, choice, 0);
    if (choice.decision?.isProbe) {
      const second = this.#choose(daemon, task);
      if (second) this.#dispatch(daemon, task, second, 0);
      return;
    }
    if (!mayHedge || this.#options.policy !== PolicyName.Router) return;
    const hedgeAtMs = nowMs + daemon.hedges.delayMs(serviceId, task.workClass);
    this.#clock.schedule(hedgeAtMs, () => {
      this.#hedge(daemon, task);
    });
  }

  #hedge(daemon: SimulatedDaemon, task: Task): void {
    if (task.firstTokenAtMs !== undefined || task.end !== RequestEnd.Open) return;
    const [first] = task.attempts;
    if (!first || task.attempts.length > 1) return;
    const workspaceId = `team/w${task.request.workspace}`;
    if (!daemon.hedges.tryHedge(workspaceId, true)) return;
    const choice = this.#choose(daemon, task);
    if (choice) this.#dispatch(daemon, task, choice, 0);
    else daemon.hedges.refund(workspaceId);
  }

  #dispatch(daemon: SimulatedDaemon, task: Task, choice: Choice, importedTokens: number): void {
    const { request } = task;
    const nowMs = this.#clock.nowMs();
    const endpoint = this.#endpoints.get(choice.endpoint.id)!;
    const { id, region } = endpoint.view;
    const reports =
      this.#options.policy === PolicyName.Router && choice.decision
        ? this.#attemptReports(daemon, choice.decision, task)
        : undefined;
    const attempt: Attempt = {
      id: this.#attemptId++,
      endpoint,
      reports,
      sentAtMs: nowMs,
      linkMs: region === daemon.region ? 1 : 12,
      isRepeat: task.hasBroken,
      resumedTokens: task.delivered,
      produced: 0,
      isOver: false,
    };
    task.attempts.push(attempt);
    task.tried.push(id);
    task.attemptCount += 1;
    this.#countOwn(daemon, attempt, task, 1);
    endpoint.inTransit += 1;
    this.#clock.schedule(nowMs + attempt.linkMs, () => {
      endpoint.inTransit -= 1;
      if (attempt.isOver) return;
      endpoint.engine.submit({
        id: attempt.id,
        workClass: choice.decision?.engineClass ?? task.workClass,
        promptTokens: request.promptTokens + attempt.resumedTokens,
        outputTokens: request.outputTokens - attempt.resumedTokens,
        blocks: request.blocks,
        finalBlocks: request.finalBlocks,
        importedTokens,
        onToken: () => {
          this.#token(daemon, task, attempt);
        },
        onEnd: (usage) => {
          const sentTokens = request.promptTokens + attempt.resumedTokens;
          reports?.ended(this.#clock.nowMs(), sentTokens - usage.uncachedTokens);
          this.#settle(daemon, task, attempt, usage);
          this.#finish(daemon, task, RequestEnd.Completed);
        },
        onBroken: (usage) => {
          this.#clock.schedule(this.#clock.nowMs() + attempt.linkMs, () => {
            if (!attempt.isOver) this.#broken(daemon, task, attempt, usage);
          });
        },
      });
    });
  }

  #attemptReports(daemon: SimulatedDaemon, decision: Decision, task: Task): AttemptObserver {
    const nowMs = this.#clock.nowMs();
    const { blocks: prefix, promptTokens } = task.request;
    const request = { prefix, promptTokens: promptTokens + task.delivered };
    return new AttemptObserver(daemon.caches, daemon.speeds, decision, request, nowMs);
  }

  #token(daemon: SimulatedDaemon, task: Task, attempt: Attempt): void {
    // The time on the link is added here rather than by a timer for each token.
    const nowMs = this.#clock.nowMs() + attempt.linkMs;
    attempt.produced += 1;
    attempt.reports?.token(nowMs);
    task.delivered = Math.max(task.delivered, attempt.resumedTokens + attempt.produced);
    task.lastTokenAtMs = nowMs;
    if (task.firstTokenAtMs !== undefined) return;
    task.firstTokenAtMs = nowMs;
    if (task.attemptCount === 1) {
      daemon.hedges.observeFirstToken(serviceId, task.workClass, nowMs - attempt.sentAtMs);
    }
    for (const other of [...task.attempts]) {
      if (other !== attempt) this.#cancel(daemon, task, other);
    }
  }

  #cancel(daemon: SimulatedDaemon, task: Task, attempt: Attempt): void {
    const usage = attempt.endpoint.engine.cancel(attempt.id);
    attempt.reports?.failed(false);
    this.#settle(
      daemon,
      task,
      attempt,
      usage ?? { uncachedTokens: 0, slotMs: 0, hasStarted: false },
    );
  }

  /** Books what an attempt used. */
  #settle(daemon: SimulatedDaemon, task: Task, attempt: Attempt, usage: EngineUsage): void {
    if (attempt.isOver) return;
    attempt.isOver = true;
    attempt.reports?.ended(this.#clock.nowMs());
    this.#countOwn(daemon, attempt, task, -1);
    task.attempts.splice(task.attempts.indexOf(attempt), 1);
    task.uncachedTokens += usage.uncachedTokens;
    const newTokens = task.attemptCount > 1 && attempt.isRepeat ? 0 : task.request.newTokens;
    task.recomputedTokens += Math.max(0, usage.uncachedTokens - newTokens);
    if (usage.hasStarted) task.startedAttempts += 1;
    if (attempt.isRepeat) task.repeatedTokens += usage.uncachedTokens;
    const { priceUsdPerHour, batchSlots } = attempt.endpoint.view;
    task.usd += (usage.slotMs * priceUsdPerHour) / batchSlots / 3_600_000;
  }

  #broken(daemon: SimulatedDaemon, task: Task, attempt: Attempt, usage: EngineUsage): void {
    const nowMs = this.#clock.nowMs();
    attempt.reports?.failed(true);
    daemon.known.set(attempt.endpoint.view.id, nowMs);
    this.#settle(daemon, task, attempt, usage);
    if (task.attempts.length > 0 || task.end !== RequestEnd.Open) return;
    task.hasBroken = true;
    if (this.#options.restartsOnReclaim) {
      task.repeatedTokens += task.delivered;
      task.delivered = 0;
    }
    // Long work is accepted jobs, which are resumed whatever the budget says.
    const isJob = task.request.kind.workClass === WorkClass.Long;
    const retryAtMs = isJob
      ? nowMs + 50 + this.#random.float() * 200
      : daemon.retries.retryAtMs(
          {
            budgetKey: `team/w${task.request.workspace}`,
            attempts: task.attemptCount,
            outcome: usage.hasStarted ? Outcome.Unknown : Outcome.NotRun,
            repeatable: true,
            deadlineAtMs: task.request.deadlineAtMs,
          },
          settings,
          nowMs,
        );
    if (retryAtMs === undefined) {
      this.#finish(daemon, task, RequestEnd.Broken);
      return;
    }
    this.#clock.schedule(retryAtMs, () => {
      if (task.end === RequestEnd.Open) this.#send(daemon, task, false);
    });
  }

  #finish(daemon: SimulatedDaemon, task: Task, end: RequestEnd): void {
    if (task.end !== RequestEnd.Open) return;
    task.end = end;
    task.endAtMs = this.#clock.nowMs();
    for (const other of [...task.attempts]) this.#cancel(daemon, task, other);
    daemon.open.delete(task);
    if (end === RequestEnd.Completed) {
      const { request } = task;
      daemon.lengths.observe(
        {
          workspaceId: `team/w${request.workspace}`,
          serviceId,
          workloadKey: String(request.blocks[0]),
        },
        request.outputTokens,
      );
    }
    task.ticket?.end(task.usd);
  }

  #countOwn(daemon: SimulatedDaemon, attempt: Attempt, task: Task, change: 1 | -1): void {
    const { id } = attempt.endpoint.view;
    const own = daemon.own.get(id) ?? { short: 0, medium: 0, long: 0 };
    daemon.own.set(id, { ...own, [task.workClass]: own[task.workClass] + change });
  }

  // Knowledge of the daemons.

  #report(): void {
    const observedAtMs = this.#clock.nowMs();
    for (const endpoint of this.#endpoints.values()) {
      if (endpoint.engine.isDead) continue;
      const report = {
        runningRequests: endpoint.engine.runningRequests,
        queuedRequests: endpoint.engine.queuedRequests,
        kvUsedRatio: 0,
        observedAtMs,
        receivedAtMs: observedAtMs + this.#knobs.reportLagMs,
      };
      this.#clock.schedule(report.receivedAtMs, () => {
        endpoint.report = report;
      });
    }
  }

  #gossip(): void {
    const demands = this.#daemons.map(({ admission }) => admission.demandPerS());
    for (const [index, { admission }] of this.#daemons.entries()) {
      const others = new Map<string, number>();
      for (const [from, demand] of demands.entries()) {
        if (from === index) continue;
        for (const [workspaceId, perS] of demand) {
          others.set(workspaceId, (others.get(workspaceId) ?? 0) + perS);
        }
      }
      admission.updatePeers(this.#daemons.length, others);
    }
  }

  #tickDaemon(daemon: SimulatedDaemon): void {
    const capacity = {
      batchSlots: 0,
      runningRequests: 0,
      queuedRequests: 0,
      shortReserveRatio: settings.short_reserve_ratio,
    };
    for (const { view, report } of this.#endpoints.values()) {
      if (daemon.known.has(view.id)) continue;
      capacity.batchSlots += view.batchSlots;
      capacity.runningRequests += report?.runningRequests ?? 0;
      capacity.queuedRequests += report?.queuedRequests ?? 0;
    }
    daemon.admission.updateCapacity(serviceId, capacity);
    const nowMs = this.#clock.nowMs();
    for (const task of daemon.open) {
      for (const attempt of task.attempts) attempt.reports?.checkStall(nowMs);
    }
  }

  #sample(): void {
    if (this.#clock.nowMs() < this.#warmUpEndMs || this.#clock.nowMs() > this.#measureEndMs) return;
    let sum = 0;
    let squares = 0;
    let running = 0;
    let slots = 0;
    let count = 0;
    let hasQueue = false;
    let hasFree = false;
    for (const { engine, inTransit, leavingAtMs } of this.#endpoints.values()) {
      if (engine.isDead || leavingAtMs !== undefined) continue;
      const load = engine.runningRequests + engine.queuedRequests + inTransit;
      sum += load;
      squares += load * load;
      running += engine.runningRequests;
      slots += engine.model.batchSlots;
      count += 1;
      if (engine.queuedRequests > 0) hasQueue = true;
      if (engine.runningRequests + inTransit <= engine.model.batchSlots - 2) hasFree = true;
    }
    const mean = sum / count;
    this.#variationSum +=
      mean > 0 ? Math.sqrt(Math.max(0, squares / count - mean * mean)) / mean : 0;
    this.#utilisationSum += running / slots;
    if (hasQueue && hasFree) this.#queuedBesideFree += 1;
    this.#sampleCount += 1;
  }

  // Faults.

  #scheduleFaults(): void {
    const random = this.#random.fork();
    if (this.#knobs.slowEndpoints > 0) {
      this.#clock.schedule(this.#warmUpEndMs, () => {
        this.#slowEpisode(random);
      });
    }
    const { domainLostAfterMs, reclaimEveryMs } = this.#knobs;
    if (domainLostAfterMs !== undefined) {
      this.#clock.schedule(this.#warmUpEndMs + domainLostAfterMs, () => {
        this.#loseDomain();
      });
    }
    if (reclaimEveryMs !== undefined) {
      for (let atMs = this.#warmUpEndMs; atMs < this.#measureEndMs; atMs += reclaimEveryMs) {
        this.#clock.schedule(atMs, () => {
          this.#reclaim(random);
        });
      }
    }
  }

  #slowEpisode(random: Random): void {
    const live = [...this.#endpoints.values()].filter(({ engine }) => !engine.isDead);
    for (const { engine } of live) engine.slowdown = 1;
    if (this.#clock.nowMs() >= this.#measureEndMs) return;
    for (let count = 0; count < this.#knobs.slowEndpoints; count++) {
      const fast = live.filter(({ engine }) => engine.slowdown === 1);
      random.pick(fast).engine.slowdown = this.#knobs.slowFactor;
    }
    this.#clock.schedule(this.#clock.nowMs() + random.int(20_000, 60_000), () => {
      this.#slowEpisode(random);
    });
  }

  /** The largest failure domain breaks without notice; a list shows it to all after 2 s. */
  #loseDomain(): void {
    const sizes = new Map<string, number>();
    for (const { group } of this.#endpoints.values()) {
      sizes.set(group.failureDomain, (sizes.get(group.failureDomain) ?? 0) + 1);
    }
    const [domain] = [...sizes].sort(([, a], [, b]) => b - a)[0]!;
    const lost = [...this.#endpoints.values()].filter(
      ({ group }) => group.failureDomain === domain,
    );
    for (const endpoint of lost) endpoint.engine.kill();
    this.#announce(lost, 2_000);
    this.#replace(lost);
  }

  #reclaim(random: Random): void {
    const candidates = [...this.#endpoints.values()].filter(
      ({ engine, leavingAtMs, group }) =>
        !engine.isDead && leavingAtMs === undefined && group.reclaimable,
    );
    if (candidates.length === 0) return;
    const endpoint = random.pick(candidates);
    const nowMs = this.#clock.nowMs();
    endpoint.leavingAtMs = nowMs + this.#knobs.noticeMs;
    this.#announce([endpoint], 200);
    this.#clock.schedule(endpoint.leavingAtMs, () => {
      endpoint.engine.kill();
    });
    if (!this.#options.restartsOnReclaim) {
      const lastMoveMs = endpoint.leavingAtMs - Math.min(10_000, this.#knobs.noticeMs / 2);
      this.#clock.schedule(nowMs + 300, () => {
        this.#moveStreams(endpoint, false);
      });
      this.#clock.schedule(lastMoveMs, () => {
        this.#moveStreams(endpoint, true);
      });
    }
    this.#replace([endpoint]);
  }

  /** Moves streams off a leaving endpoint: at first those that cannot end in time, at last all. */
  #moveStreams(endpoint: SimulatedEndpoint, isLast: boolean): void {
    const nowMs = this.#clock.nowMs();
    const leftMs = (endpoint.leavingAtMs ?? nowMs) - nowMs;
    for (const daemon of this.#daemons) {
      for (const task of [...daemon.open]) {
        const attempt = task.attempts.find((each) => each.endpoint === endpoint);
        if (!attempt) continue;
        const remaining = Math.max(
          task.expectedOutputTokens * 0.25,
          task.expectedOutputTokens - task.delivered,
        );
        if (!isLast && remaining * endpoint.engine.stepMs < leftMs * 0.8) continue;
        this.#move(daemon, task, attempt, leftMs);
      }
    }
  }

  /** Hands a stream over with its KV cache within the region, else resumes it from its tokens. */
  #move(daemon: SimulatedDaemon, task: Task, attempt: Attempt, leftMs: number): void {
    const tokens = task.request.promptTokens + task.delivered;
    const transferMs = (tokens * kvBytesPerToken) / kvBytesPerMs + kvImportMs;
    const { region } = attempt.endpoint.view;
    const choice = this.#choose(daemon, task, transferMs < 0.6 * leftMs ? region : undefined);
    if (!choice) return;
    const canImport = choice.endpoint.region === region && transferMs < 0.6 * leftMs;
    this.#cancel(daemon, task, attempt);
    task.hasBroken = true;
    this.#clock.schedule(this.#clock.nowMs() + (canImport ? transferMs : 0), () => {
      if (task.end === RequestEnd.Open) {
        this.#dispatch(daemon, task, choice, canImport ? tokens : 0);
      }
    });
  }

  #announce(endpoints: readonly SimulatedEndpoint[], afterMs: number): void {
    this.#clock.schedule(this.#clock.nowMs() + afterMs, () => {
      for (const daemon of this.#daemons) {
        for (const { view } of endpoints) daemon.known.set(view.id, this.#clock.nowMs());
      }
    });
  }

  #replace(lost: readonly SimulatedEndpoint[]): void {
    this.#clock.schedule(this.#clock.nowMs() + this.#knobs.replacedAfterMs, () => {
      for (const { view, group } of lost) {
        this.#endpoints.delete(view.id);
        const [name, incarnation] = view.id.split(':');
        this.#addEndpoint(`${name}:${Number(incarnation) + 1}`, group);
        for (const daemon of this.#daemons) {
          daemon.speeds.remove(view.id);
          daemon.caches.remove(view.id);
        }
      }
    });
  }
}

function toRecord(task: Task): RequestRecord {
  const { request, firstTokenAtMs } = task;
  const decoded = Math.max(1, request.outputTokens - 1);
  return {
    request,
    end: task.end,
    firstTokenMs: firstTokenAtMs === undefined ? undefined : firstTokenAtMs - request.arrivalMs,
    queuedMs: task.ticket?.queuedMs ?? 0,
    endAtMs: task.endAtMs,
    betweenTokensMs:
      firstTokenAtMs === undefined ? 0 : (task.lastTokenAtMs - firstTokenAtMs) / decoded,
    attempts: task.attemptCount,
    startedAttempts: task.startedAttempts,
    uncachedTokens: task.uncachedTokens,
    recomputedTokens: task.recomputedTokens,
    repeatedTokens: task.repeatedTokens,
    usd: task.usd,
  };
}

/** Runs one simulation; the result is a function of the options. */
export function runSimulation(options: RunOptions): RunResult {
  return new Simulation(options).run();
}
