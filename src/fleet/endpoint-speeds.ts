/** Speed of the endpoints of one service. */
interface GroupSpeed {
  readonly members: Set<EndpointSpeed>;
  /** Smoothed step time and load at which it was observed; undefined before the first step. */
  stepMs: number | undefined;
  load: number;
  /** Observed time of all endpoints, with an upper bound. */
  weightMs: number;
  /** Smoothed sums of a regression of step time on load within endpoints. */
  covariance: number;
  variance: number;
  prefillTokensPerMs: number;
  prefills: number;
  spread: number;
  nextSpreadAtMs: number;
}

interface EndpointSpeed {
  readonly group: GroupSpeed;
  /** Smoothed logarithm of the step time over that of the service at the same load. */
  logStep: number;
  /** Smoothed logarithm of the prefill time over that of the service. */
  logPrefill: number;
  /** Observed time, with an upper bound; how far the values above are trusted. */
  stepWeightMs: number;
  prefills: number;
  observedAtMs: number;
  /** Smoothed load and step time, for the regression. */
  load: number;
  stepMs: number;
  /** Smoothed logarithm of the latest step times over those expected of this endpoint. */
  logRecent: number;
  /** Service time in percent as last reported, and its smoothed value. */
  serviceTimePercent: number;
  meanServiceTimePercent: number;
  reportedAtMs: number;
  /** Factors on step and prefill time now, computed for the time below; NaN if out of date. */
  stepFactor: number;
  prefillFactor: number;
  factorsAtMs: number;
}

/** Time constant of the smoothing: several times a slow period, which lasts below a second. */
const smoothingMs = 20_000;

/** Time constant with which the speed of an endpoint without observations decays to the mean. */
const decayMs = 300_000;

/** Observed time at which the own speed of an endpoint weighs as much as that of its service. */
const priorMs = 1_000;

/** Long prompts after which the own prefill speed weighs as much as what the steps say. */
const priorPrefills = 3;

/** An endpoint is slow for about 600 ms at a time, so that what was seen last soon says little. */
const momentaryHalfLifeMs = 300;

/** Time constant with which step times show that an endpoint is slow at the moment. */
const recentSmoothingMs = 150;

/** Weight of the latest reported service time in the smoothed one. */
const serviceTimeGain = 0.05;

/** Prompt tokens that an engine prefills per millisecond, until its speed has been observed. */
const initialPrefillTokensPerMs = 30;

/** Step time that is assumed until one was observed. */
const initialStepMs = 30;

/** Ratios beyond this are caused by something else than the speed, such as a caller that pauses. */
const maxRatio = 8;

/** Observed time from which an endpoint counts in the spread. */
const minSpreadWeightMs = 2_000;

const spreadPeriodMs = 1_000;

/**
 * Time for which factors are reused, below that of one step: a decision among 100 candidates reads
 * each of them several times, and their exponentials would be most of its cost.
 */
const factorTtlMs = 10;

/** Share of the latest observation in the sums of the regression. */
const regressionGain = 0.002;

/** Share of the latest long prompt in the smoothed prefill speeds. */
const prefillGain = 0.1;

/**
 * Speeds of endpoints for steps and for prefill, from the daemon's own streams. Each is a ratio to
 * the mean of the endpoint's service at the same load, since a step takes longer with more
 * requests. A ratio decays to 1 without observations; a new endpoint starts there.
 *
 * @example
 * ```ts
 * speeds.add('i-7', 'registered/assistant', clock.nowMs());
 * speeds.observeStep('i-7', 31, 6, clock.nowMs());
 * speeds.stepMs('i-7', 6, clock.nowMs());
 * ```
 */
export class EndpointSpeeds {
  readonly #endpoints = new Map<string, EndpointSpeed>();
  readonly #groups = new Map<string, GroupSpeed>();

  /** Adds an endpoint of a service; a second call is ignored. */
  add(endpointId: string, group: string, nowMs: number): void {
    if (this.#endpoints.has(endpointId)) return;
    const members = this.#group(group);
    const endpoint: EndpointSpeed = {
      group: members,
      logStep: 0,
      logPrefill: 0,
      stepWeightMs: 0,
      prefills: 0,
      observedAtMs: nowMs,
      load: 0,
      stepMs: 0,
      logRecent: 0,
      serviceTimePercent: 100,
      meanServiceTimePercent: 100,
      reportedAtMs: -Infinity,
      stepFactor: 1,
      prefillFactor: 1,
      factorsAtMs: NaN,
    };
    members.members.add(endpoint);
    this.#endpoints.set(endpointId, endpoint);
  }

  /** Removes an endpoint whose identity is gone. */
  remove(endpointId: string): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (!endpoint) return;
    endpoint.group.members.delete(endpoint);
    this.#endpoints.delete(endpointId);
  }

  /**
   * Records the time between two events of a stream; unknown endpoints are ignored.
   *
   * @param load - requests that ran at the endpoint.
   */
  observeStep(endpointId: string, stepMs: number, load: number, nowMs: number): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (!endpoint || !(stepMs > 0) || !Number.isFinite(stepMs)) return;
    const { group } = endpoint;
    // Streams of one batch get their events together; only the time since the last ones counts.
    const elapsedMs = Math.min(stepMs, Math.max(0, nowMs - endpoint.observedAtMs));
    if (elapsedMs === 0) return;
    this.#observeGroup(group, stepMs, load, elapsedMs);
    const factor = Math.exp(this.#logStep(endpoint, nowMs));
    const weightMs = Math.min(smoothingMs, endpoint.stepWeightMs + elapsedMs);
    const gain = elapsedMs / weightMs;
    this.#observeSlope(endpoint, stepMs, load, factor, gain);
    const ratio = stepMs / this.#expectedStepMs(group, load);
    const log = Math.log(Math.min(maxRatio, Math.max(1 / maxRatio, ratio)));
    const logNow = Math.min(
      Math.log(maxRatio),
      Math.max(-Math.log(maxRatio), log - Math.log(factor)),
    );
    endpoint.logRecent +=
      (logNow - endpoint.logRecent) * (1 - Math.exp(-elapsedMs / recentSmoothingMs));
    endpoint.logStep += (log - endpoint.logStep) * gain;
    endpoint.stepWeightMs = weightMs;
    endpoint.observedAtMs = nowMs;
    endpoint.factorsAtMs = NaN;
  }

  /**
   * Records the time that an endpoint took for a long prompt.
   *
   * @param tokens - uncached prompt tokens, weighted by their position.
   * @param elapsedMs - without the time for prompts known to be before it.
   */
  observePrefill(endpointId: string, tokens: number, elapsedMs: number): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (!endpoint || !(tokens > 0) || !(elapsedMs > 0) || !Number.isFinite(tokens / elapsedMs))
      return;
    const { group } = endpoint;
    const rate = tokens / elapsedMs;
    const log = Math.log(
      Math.min(maxRatio, Math.max(1 / maxRatio, group.prefillTokensPerMs / rate)),
    );
    const gain = Math.max(1 / (endpoint.prefills + 1), prefillGain);
    endpoint.logPrefill += (log - endpoint.logPrefill) * gain;
    endpoint.prefills = Math.min(100, endpoint.prefills + 1);
    endpoint.factorsAtMs = NaN;
    // The service's speed is that of its endpoints on average, whichever of them is observed.
    const normalRate = rate * Math.exp(this.#logPrefill(endpoint, endpoint.observedAtMs));
    group.prefills = Math.min(100, group.prefills + 1);
    const groupGain = Math.max(1 / group.prefills, prefillGain / 2);
    group.prefillTokensPerMs += (normalRate - group.prefillTokensPerMs) * groupGain;
  }

  /** Records the service time that an endpoint reports, in percent of the usual. */
  recordServiceTime(endpointId: string, percent: number, nowMs: number): void {
    const endpoint = this.#endpoints.get(endpointId);
    if (!endpoint || !(percent > 0) || !Number.isFinite(percent)) return;
    endpoint.serviceTimePercent = percent;
    endpoint.meanServiceTimePercent +=
      (percent - endpoint.meanServiceTimePercent) * serviceTimeGain;
    endpoint.reportedAtMs = nowMs;
    endpoint.factorsAtMs = NaN;
  }

  /** Expected time of a step with `load` requests, in milliseconds. */
  stepMs(endpointId: string, load: number, nowMs: number): number {
    const endpoint = this.#endpoints.get(endpointId);
    if (!endpoint) return initialStepMs;
    this.#refreshFactors(endpoint, nowMs);
    return this.#expectedStepMs(endpoint.group, load) * endpoint.stepFactor;
  }

  /** Weighted prompt tokens that the endpoint prefills per millisecond. */
  prefillTokensPerMs(endpointId: string, nowMs: number): number {
    const endpoint = this.#endpoints.get(endpointId);
    if (!endpoint) return initialPrefillTokensPerMs;
    this.#refreshFactors(endpoint, nowMs);
    return endpoint.group.prefillTokensPerMs / endpoint.prefillFactor;
  }

  /** Step time of an endpoint over that of its service at the same load; 1 when not known. */
  stepRatio(endpointId: string, nowMs: number): number {
    const endpoint = this.#endpoints.get(endpointId);
    return endpoint ? Math.exp(this.#logStep(endpoint, nowMs)) : 1;
  }

  /** Step time of a service's mean endpoint with `load` requests, in milliseconds. */
  meanStepMs(group: string, load: number): number {
    const known = this.#groups.get(group);
    return known ? this.#expectedStepMs(known, load) : initialStepMs;
  }

  /** Whether a step of a service's endpoints was observed. */
  isObserved(group: string): boolean {
    return this.#groups.get(group)?.stepMs !== undefined;
  }

  /**
   * Ratio of the step times of slow and fast endpoints of a service, without the slowest and the
   * fastest tenth; 1 while fewer than two endpoints have been observed for long enough.
   */
  spread(group: string, nowMs: number): number {
    const known = this.#groups.get(group);
    if (!known) return 1;
    if (nowMs < known.nextSpreadAtMs) return known.spread;
    known.nextSpreadAtMs = nowMs + spreadPeriodMs;
    const logs = [...known.members]
      .filter(({ stepWeightMs }) => stepWeightMs >= minSpreadWeightMs)
      .map((endpoint) => this.#logStep(endpoint, nowMs))
      .sort((a, b) => a - b);
    const last = logs.length - 1;
    const low = logs[Math.floor(last * 0.1)] ?? 0;
    const high = logs[Math.ceil(last * 0.9)] ?? 0;
    known.spread = logs.length < 2 ? 1 : Math.exp(high - low);
    return known.spread;
  }

  #group(name: string): GroupSpeed {
    let group = this.#groups.get(name);
    if (!group) {
      group = {
        members: new Set(),
        stepMs: undefined,
        load: 0,
        weightMs: 0,
        covariance: 0,
        variance: 0,
        prefillTokensPerMs: initialPrefillTokensPerMs,
        prefills: 0,
        spread: 1,
        nextSpreadAtMs: 0,
      };
      this.#groups.set(name, group);
    }
    return group;
  }

  /** Endpoints weigh by the time for which they were observed, not by their events. */
  #observeGroup(group: GroupSpeed, stepMs: number, load: number, elapsedMs: number): void {
    group.weightMs = Math.min(smoothingMs * group.members.size, group.weightMs + elapsedMs);
    const gain = elapsedMs / group.weightMs;
    const meanMs = group.stepMs ?? stepMs;
    const clippedMs = Math.min(stepMs, meanMs * maxRatio);
    group.stepMs = meanMs + (clippedMs - meanMs) * gain;
    group.load += (load - group.load) * gain;
  }

  /**
   * The slope is estimated from how an endpoint differs from its own mean, so that slow endpoints
   * with many requests are not taken for the effect of the requests.
   */
  #observeSlope(
    endpoint: EndpointSpeed,
    stepMs: number,
    load: number,
    factor: number,
    gain: number,
  ): void {
    const { group } = endpoint;
    const stepDifferenceMs = stepMs - endpoint.stepMs;
    const loadDifference = load - endpoint.load;
    endpoint.stepMs += stepDifferenceMs * gain;
    endpoint.load += loadDifference * gain;
    if (endpoint.stepWeightMs < priorMs) return;
    const normalMs = stepDifferenceMs / factor;
    group.covariance += (normalMs * loadDifference - group.covariance) * regressionGain;
    group.variance += (loadDifference * loadDifference - group.variance) * regressionGain;
  }

  #expectedStepMs(group: GroupSpeed, load: number): number {
    if (group.stepMs === undefined) return initialStepMs;
    // An empty batch takes some time too, and more requests never make a step shorter.
    const maxSlopeMs = (0.8 * group.stepMs) / Math.max(1, group.load);
    const slopeMs =
      group.variance > 0 ? Math.min(maxSlopeMs, Math.max(0, group.covariance / group.variance)) : 0;
    return group.stepMs + slopeMs * (load - group.load);
  }

  #refreshFactors(endpoint: EndpointSpeed, nowMs: number): void {
    const ageMs = nowMs - endpoint.factorsAtMs;
    if (ageMs >= 0 && ageMs < factorTtlMs) return;
    const momentaryRatio = this.#momentaryRatio(endpoint, nowMs);
    endpoint.stepFactor = Math.exp(this.#logStep(endpoint, nowMs)) * momentaryRatio;
    endpoint.prefillFactor = Math.exp(this.#logPrefill(endpoint, nowMs)) * momentaryRatio;
    endpoint.factorsAtMs = nowMs;
  }

  #logStep(endpoint: EndpointSpeed, nowMs: number): number {
    const trust = endpoint.stepWeightMs / (endpoint.stepWeightMs + priorMs);
    return endpoint.logStep * trust * decayed(endpoint, nowMs);
  }

  /** What the steps say of the endpoint's speed, until enough long prompts were observed. */
  #logPrefill(endpoint: EndpointSpeed, nowMs: number): number {
    const trust = endpoint.prefills / (endpoint.prefills + priorPrefills);
    return (
      endpoint.logPrefill * trust * decayed(endpoint, nowMs) +
      this.#logStep(endpoint, nowMs) * (1 - trust)
    );
  }

  /** How much slower than on average the endpoint is now, by its report or its last steps. */
  #momentaryRatio(endpoint: EndpointSpeed, nowMs: number): number {
    const { reportedAtMs, observedAtMs } = endpoint;
    const isReported = reportedAtMs >= observedAtMs;
    const ageMs = nowMs - Math.max(reportedAtMs, observedAtMs);
    const ratio = isReported
      ? endpoint.serviceTimePercent / endpoint.meanServiceTimePercent
      : Math.exp(endpoint.logRecent);
    const weight = Math.exp((-Math.LN2 * Math.max(0, ageMs)) / momentaryHalfLifeMs);
    return 1 + (Math.min(maxRatio, Math.max(1 / maxRatio, ratio)) - 1) * weight;
  }
}

/** Weight of an endpoint's own speed by the time since its last observation. */
function decayed(endpoint: EndpointSpeed, nowMs: number): number {
  return Math.exp(-Math.max(0, nowMs - endpoint.observedAtMs) / decayMs);
}
