import { EndpointState, type EndpointView } from '../fleet/index.js';

/** Where a roll-out stands. */
export enum RolloutPhase {
  /** All endpoints are to run the version in the settings. */
  Steady = 'steady',
  /** One endpoint runs the new version and is watched. */
  Canary = 'canary',
  Rolling = 'rolling',
  /** The new version failed; endpoints return to the previous one. */
  RollingBack = 'rolling_back',
}

/** State of a roll-out, kept by the controller between rounds. */
export interface RolloutState {
  readonly phase: RolloutPhase;
  /** Version being rolled out, or in force when steady. */
  readonly version: string;
  /** Version to return to. */
  readonly previousVersion: string;
  readonly canaryId: string | undefined;
  /** Time since which the canary runs the version healthily; epoch milliseconds. */
  readonly canaryHealthySinceMs: number | undefined;
  /** Version that failed, not tried again until the settings name another. */
  readonly failedVersion: string | undefined;
  readonly reason: string;
}

/** A version that an endpoint is to run. */
export interface VersionChange {
  readonly endpointId: string;
  readonly version: string;
}

/** Result of a round. */
export interface RolloutStep {
  readonly state: RolloutState;
  readonly changes: readonly VersionChange[];
}

const canaryWatchMs = 60_000;
/** An endpoint loads weights while it changes; more at once would lose too much capacity. */
const maxUnavailableRatio = 0.1;
/** Failed endpoints of a new version that end the roll-out; the canary alone does as well. */
const maxFailures = 2;

/**
 * Rolls a version out over a service's endpoints: one first, then at most a tenth at a time, and
 * back when the canary or two others fail. Pure.
 *
 * @example
 * ```ts
 * const { state, changes } = planner.next(previous, desiredVersion, views, failedOrders, nowMs);
 * ```
 */
export class RolloutPlanner {
  /**
   * State of a controller that knows no earlier one. The version that most endpoints run is taken
   * as the one that works, so that a take-over in the middle of a roll-out can still go back.
   */
  initial(desired: string, views: readonly EndpointView[]): RolloutState {
    const counts = new Map<string, number>();
    for (const { version } of views) counts.set(version, (counts.get(version) ?? 0) + 1);
    const others = [...counts].filter(([version]) => version !== desired && version !== '');
    const version = others.sort((a, b) => b[1] - a[1])[0]?.[0] ?? desired;
    return {
      phase: RolloutPhase.Steady,
      version,
      previousVersion: version,
      canaryId: undefined,
      canaryHealthySinceMs: undefined,
      failedVersion: undefined,
      reason: '',
    };
  }

  /**
   * @param desired - version in the settings.
   * @param views - endpoints of the service, leaving ones included.
   * @param failed - endpoints at which the order for the version being rolled out failed.
   */
  next(
    current: RolloutState,
    desired: string,
    views: readonly EndpointView[],
    failed: ReadonlySet<string>,
    nowMs: number,
  ): RolloutStep {
    const present = views.filter(({ state }) => state !== EndpointState.Leaving);
    const state = this.#advance(current, desired, present, failed, nowMs);
    return { state, changes: this.#changes(state, present, failed) };
  }

  #advance(
    current: RolloutState,
    desired: string,
    views: readonly EndpointView[],
    failed: ReadonlySet<string>,
    nowMs: number,
  ): RolloutState {
    if (desired !== current.version && desired !== current.failedVersion) {
      return this.#begin(current, desired, views);
    }
    if (current.phase === RolloutPhase.Canary || current.phase === RolloutPhase.Rolling) {
      const failures = views.filter(
        (view) =>
          failed.has(view.id) || (view.version === current.version && !isHealthy(view, nowMs)),
      );
      const hasCanaryFailed = failures.some(({ id }) => id === current.canaryId);
      if (hasCanaryFailed || failures.length >= maxFailures) return rollBack(current, failures);
    }
    if (current.phase === RolloutPhase.Canary) return this.#watchCanary(current, views, nowMs);
    // The same object while nothing changes: each new state is an append to the log.
    if (current.phase === RolloutPhase.Steady) return current;
    const isDone = views.every((view) => view.version === current.version);
    return isDone ? { ...current, phase: RolloutPhase.Steady, canaryId: undefined } : current;
  }

  #begin(current: RolloutState, desired: string, views: readonly EndpointView[]): RolloutState {
    const canary = views.find((view) => view.state === EndpointState.Live) ?? views[0];
    return {
      phase: RolloutPhase.Canary,
      version: desired,
      // Within a failed or unfinished roll-out the last version that worked stays the one to
      // return to.
      previousVersion:
        current.phase === RolloutPhase.Steady ? current.version : current.previousVersion,
      canaryId: canary?.id,
      canaryHealthySinceMs: undefined,
      failedVersion: undefined,
      reason: '',
    };
  }

  #watchCanary(current: RolloutState, views: readonly EndpointView[], nowMs: number): RolloutState {
    const canary = views.find(({ id }) => id === current.canaryId);
    // The canary was reclaimed or replaced, which says nothing about the version.
    if (!canary) return this.#begin({ ...current }, current.version, views);
    if (canary.version !== current.version) return current;
    const sinceMs = current.canaryHealthySinceMs ?? nowMs;
    return nowMs - sinceMs >= canaryWatchMs
      ? { ...current, phase: RolloutPhase.Rolling, canaryHealthySinceMs: sinceMs }
      : { ...current, canaryHealthySinceMs: sinceMs };
  }

  #changes(
    state: RolloutState,
    views: readonly EndpointView[],
    failed: ReadonlySet<string>,
  ): VersionChange[] {
    const outdated = views.filter((view) => view.version !== state.version);
    if (state.phase === RolloutPhase.Canary) {
      return outdated
        .filter(({ id }) => id === state.canaryId)
        .map(({ id }) => ({ endpointId: id, version: state.version }));
    }
    const limit = Math.max(1, Math.floor(views.length * maxUnavailableRatio));
    const unavailable = views.filter(
      (view) => view.version === state.version && view.state !== EndpointState.Live,
    ).length;
    return outdated
      .filter(({ id }) => state.phase === RolloutPhase.RollingBack || !failed.has(id))
      .slice(0, Math.max(0, limit - unavailable))
      .map(({ id }) => ({ endpointId: id, version: state.version }));
  }
}

function rollBack(current: RolloutState, failures: readonly EndpointView[]): RolloutState {
  return {
    phase: RolloutPhase.RollingBack,
    version: current.previousVersion,
    previousVersion: current.previousVersion,
    canaryId: undefined,
    canaryHealthySinceMs: undefined,
    failedVersion: current.version,
    reason: `failed at ${failures.map(({ name }) => name).join(', ')}`,
  };
}

function isHealthy(view: EndpointView, nowMs: number): boolean {
  return view.state !== EndpointState.Suspect && view.circuitOpenUntilMs <= nowMs;
}
