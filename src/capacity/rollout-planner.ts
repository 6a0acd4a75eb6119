import { EndpointState, type EndpointView } from '../fleet/index.js';

/** Phase of a rollout. */
export enum RolloutPhase {
  /** No rollout is in progress; all endpoints should run the current version. */
  Steady = 'steady',
  /** One endpoint runs the new version and is monitored. */
  Canary = 'canary',
  Rolling = 'rolling',
  /** The new version failed; endpoints return to the previous one. */
  RollingBack = 'rolling_back',
}

/** State of a rollout, kept by the controller between rounds. */
export interface RolloutState {
  readonly phase: RolloutPhase;
  /** Version being rolled out, or the current version when steady. */
  readonly version: string;
  /** Version to roll back to. */
  readonly previousVersion: string;
  readonly canaryId: string | undefined;
  /** Epoch milliseconds since which the canary has been healthy with the version. */
  readonly canaryHealthySinceMs: number | undefined;
  /** Version that failed; not tried again until the settings name another one. */
  readonly failedVersion: string | undefined;
  readonly reason: string;
}

/** Version that an endpoint should change to. */
export interface VersionChange {
  readonly endpointId: string;
  readonly version: string;
}

/** Result of one planning round. */
export interface RolloutStep {
  readonly state: RolloutState;
  readonly changes: readonly VersionChange[];
}

const canaryWatchMs = 60_000;
/**
 * An endpoint that changes its version loads weights; more at once would cost too much capacity.
 */
const maxUnavailableRatio = 0.1;
/** Failed endpoints that cause a rollback; a failure of the canary alone does as well. */
const maxFailures = 2;

/**
 * Plans the rollout of a version over a service's endpoints: one endpoint first as the canary, then
 * at most a tenth at a time. Rolls back when the canary or two endpoints fail. Stateless.
 *
 * @example
 * ```ts
 * const { state, changes } = planner.next(previous, desiredVersion, views, failedOrders, nowMs);
 * ```
 */
export class RolloutPlanner {
  /**
   * Initial state for a controller without a stored one. The version other than `desired` that most
   * endpoints run is taken as the working version, so that a controller that takes over in the
   * middle of a rollout can still roll back.
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
   * Advances the rollout by one round.
   *
   * @param desired - version in the settings.
   * @param views - endpoints of the service, including leaving ones.
   * @param failed - ids of endpoints at which the order for the version being rolled out failed.
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
    // Returns the same object while nothing changes, because each new state is appended to the log.
    if (current.phase === RolloutPhase.Steady) return current;
    const isDone = views.every((view) => view.version === current.version);
    return isDone ? { ...current, phase: RolloutPhase.Steady, canaryId: undefined } : current;
  }

  #begin(current: RolloutState, desired: string, views: readonly EndpointView[]): RolloutState {
    const canary = views.find((view) => view.state === EndpointState.Live) ?? views[0];
    return {
      phase: RolloutPhase.Canary,
      version: desired,
      // During a failed or unfinished rollout, the last version that worked remains the one to roll
      // back to.
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
    // The canary was reclaimed or replaced, which is no evidence against the version.
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
