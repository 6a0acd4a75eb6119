import { hash32, type Clock } from '../core/index.js';
import type { VersionConstraint } from '../routing/route-request.js';
import { minShareWithoutStreams } from './rollout-policy.js';
import type { RolloutOrder } from './rollout-order.js';
import { Arm } from './rollout-report.js';
import { isFinal, isShifted, RolloutPhase, type RolloutState } from './rollout-state.js';

/** An endpoint of a service, as far as its version matters. */
export interface VersionedEndpoint {
  readonly id: string;
  readonly version: string;
  /** Whether it takes new requests. */
  readonly isLive: boolean;
}

/** Attempts of one request so far. */
export interface RequestHistory {
  /** Whether it was sent to the old version, which the new one in its canary phase never follows. */
  hasTriedOld: boolean;
  /** Version of the stream that has begun; undefined before. */
  streamVersion: string | undefined;
}

/** A request that is assigned to a version. */
export interface ExposedRequest {
  readonly serviceName: string;
  readonly requestId: string;
  readonly isAtMostOnce: boolean;
  readonly isIdempotent: boolean;
  /** Whether its caller goes on with a stream, whose version is not known. */
  readonly isResumed: boolean;
  readonly history: RequestHistory;
}

/** Options of {@link RolloutExposure}. */
export interface RolloutExposureOptions {
  readonly clock: Clock;
  /** Time for which a state is trusted after the holder confirmed it, in milliseconds. */
  readonly confirmationMs: number;
  readonly isStoreReadable: () => boolean;
  readonly endpointsOf: (serviceName: string) => readonly VersionedEndpoint[];
}

interface ServiceRollout {
  /** An order of which no state is known. */
  unknownOrder: RolloutOrder | undefined;
  /** Whether endpoints of another version than that of the unknown order were seen. */
  hasSeenOther: boolean;
  state: RolloutState | undefined;
  /** Lowest share that was confirmed for the revision of the state. */
  share: number;
  /** Epoch milliseconds. */
  confirmedAtMs: number;
}

/** Time for which the endpoints of a service are reused before they are looked up again. */
const endpointsTtlMs = 100;

/** Canary endpoints for each old one; a share of a fifth loads them like the old ones. */
const canaryEndpointRatio = 0.22;

const hashRange = 2 ** 32;

/**
 * Which version of its service a request may go to. While a rollout runs, the share of the new
 * version is in force only as long as the holder of the duties confirms it and the store can be read.
 *
 * @example
 * ```ts
 * const versions = exposure.constraint(request);
 * router.choose({ ...routeRequest, versions }, views, nowMs);
 * ```
 */
export class RolloutExposure {
  readonly #options: RolloutExposureOptions;
  readonly #services = new Map<string, ServiceRollout>();
  readonly #cached = new Map<
    string,
    { readonly endpoints: readonly VersionedEndpoint[]; readonly untilMs: number }
  >();

  constructor(options: RolloutExposureOptions) {
    this.#options = options;
  }

  /** Applies an order; nothing goes to its version until its state is known. */
  applyOrder(order: RolloutOrder): void {
    const rollout = this.#rollout(order.serviceName);
    if (rollout.state?.to === order.to) return;
    rollout.unknownOrder = order;
    rollout.hasSeenOther = false;
  }

  /**
   * Applies a state that the holder stored or confirmed; an older one is ignored.
   *
   * @param share - share that is in force now; it only falls within a revision.
   * @param confirmedAtMs - epoch milliseconds.
   * @returns whether the state is new.
   */
  applyState(state: RolloutState, share: number, confirmedAtMs: number): boolean {
    const rollout = this.#rollout(state.serviceName);
    const known = rollout.state?.revision ?? -1;
    if (state.revision < known) return false;
    const isNew = state.revision > known;
    if (rollout.unknownOrder?.to === state.to) rollout.unknownOrder = undefined;
    // The holder that confirmed the state before has stored this one.
    const continues = rollout.state?.to === state.to;
    rollout.confirmedAtMs = Math.max(continues ? rollout.confirmedAtMs : -Infinity, confirmedAtMs);
    rollout.share = isNew ? share : Math.min(rollout.share, share);
    rollout.state = state;
    return isNew;
  }

  /** The state of a service's last rollout; undefined if none is known. */
  stateOf(serviceName: string): RolloutState | undefined {
    return this.#services.get(serviceName)?.state;
  }

  /** Version to which a rollout that is not final moves a service; undefined if there is none. */
  runningTo(serviceName: string): string | undefined {
    const rollout = this.#services.get(serviceName);
    if (!rollout) return undefined;
    if (rollout.unknownOrder) return rollout.unknownOrder.to;
    return rollout.state && !isFinal(rollout.state) ? rollout.state.to : undefined;
  }

  /** Services whose rollout is not final. */
  running(): string[] {
    return [...this.#services.keys()].filter((name) => this.runningTo(name) !== undefined);
  }

  /** Revision of the state that requests are assigned by; 0 while nothing goes to the version. */
  revisionInForce(serviceName: string): number {
    const rollout = this.#services.get(serviceName);
    return rollout?.state && this.#isInForce(rollout) ? rollout.state.revision : 0;
  }

  /** Share of the requests that goes to the new version now. */
  shareInForce(serviceName: string): number {
    const rollout = this.#services.get(serviceName);
    return rollout && this.#isInForce(rollout) ? rollout.share : 0;
  }

  /** Whether an endpoint of a version counts as capacity of its service. */
  countsAsCapacity(serviceName: string, version: string): boolean {
    const rollout = this.#services.get(serviceName);
    if (!rollout) return true;
    const { state, unknownOrder } = rollout;
    if (unknownOrder?.to === version && this.#isUnknown(rollout, unknownOrder)) return false;
    if (!state) return true;
    if (state.rolledBack.includes(version)) return false;
    if (isShifted(state)) return version === state.to || !state.from.includes(version);
    return version !== state.to;
  }

  /** Which endpoints may serve a request now; undefined if all of its service may. */
  constraint(request: ExposedRequest): VersionConstraint | undefined {
    const rollout = this.#services.get(request.serviceName);
    if (!rollout) return undefined;
    const { streamVersion } = request.history;
    const base = this.#constraintOf(rollout, request);
    if (streamVersion === undefined) return base;
    const isExcluded = (version: string): boolean =>
      rollout.state?.rolledBack.includes(version) === true;
    return {
      admits: ({ version }) => version === streamVersion && !isExcluded(version),
      prefers: () => true,
    };
  }

  #constraintOf(rollout: ServiceRollout, request: ExposedRequest): VersionConstraint | undefined {
    const { state, unknownOrder } = rollout;
    const unknownTo =
      unknownOrder && this.#isUnknown(rollout, unknownOrder) ? unknownOrder.to : undefined;
    const isExcluded = (version: string): boolean =>
      version === unknownTo || state?.rolledBack.includes(version) === true;
    if (!state)
      return unknownTo === undefined ? undefined : only((view) => !isExcluded(view.version));
    const { to, from, phase } = state;
    if (phase === RolloutPhase.Succeeded)
      return only(({ version }) => !isExcluded(version) && !from.includes(version));
    if (phase === RolloutPhase.RolledBack) return only(({ version }) => !isExcluded(version));
    const isOld = ({ version }: { version: string }): boolean =>
      version !== to && !isExcluded(version);
    const arm = this.#isInForce(rollout) ? this.#armOf(rollout, state, request) : Arm.Old;
    if (isShifted(state)) {
      if (!this.#isInForce(rollout)) return only(isOld);
      const isNew = ({ version }: { version: string }): boolean => version === to;
      if (arm === Arm.Old) return { admits: (view) => isOld(view) || isNew(view), prefers: isOld };
      // With no endpoint of the version left, the old ones serve until the rollout is rolled back.
      return this.#hasLive(request.serviceName, to) ? only(isNew) : only(isOld);
    }
    if (arm === Arm.Old) return only(isOld);
    const canaries = this.#canaryIds(state);
    const isCanary = ({ id }: { id: string }): boolean => canaries.has(id);
    return { admits: (view) => isOld(view) || isCanary(view), prefers: isCanary };
  }

  /** Version of a request by the hash of its id, so that all its attempts get the same one. */
  #armOf({ share }: ServiceRollout, state: RolloutState, request: ExposedRequest): Arm {
    const { requestId, isAtMostOnce, isIdempotent, isResumed, history } = request;
    const position = hash32(requestId, hash32(state.to)) / hashRange;
    if (state.phase === RolloutPhase.Drain) return Arm.New;
    if (state.phase === RolloutPhase.Shift) {
      const mayBeControl = isIdempotent || (share < minShareWithoutStreams && !isAtMostOnce);
      return mayBeControl && position >= share ? Arm.Old : Arm.New;
    }
    if (history.hasTriedOld || isResumed) return Arm.Old;
    if (isAtMostOnce && state.phase === RolloutPhase.Canary) return Arm.Old;
    return position < share ? Arm.New : Arm.Old;
  }

  #isInForce({ state, share, confirmedAtMs }: ServiceRollout): boolean {
    if (!state || isFinal(state) || share === 0) return false;
    const { clock, confirmationMs, isStoreReadable } = this.#options;
    return clock.nowMs() < confirmedAtMs + confirmationMs && isStoreReadable();
  }

  /**
   * Whether the version of an order without a known state is a new one. It is the one in force if no
   * other was there since the order.
   */
  #isUnknown(rollout: ServiceRollout, { serviceName, to }: RolloutOrder): boolean {
    rollout.hasSeenOther ||= this.#endpoints(serviceName).some(({ version }) => version !== to);
    return rollout.hasSeenOther;
  }

  #hasLive(serviceName: string, version: string): boolean {
    return this.#endpoints(serviceName).some(
      (endpoint) => endpoint.isLive && endpoint.version === version,
    );
  }

  /**
   * Endpoints of the version that take its share: about as few as carry the load that the old ones
   * do each at the largest share, so that faults under load show. They stay the same while the share
   * rises, as others would be cold. All gateways choose the same ones.
   */
  #canaryIds({ serviceName, to }: RolloutState): ReadonlySet<string> {
    const live = this.#endpoints(serviceName).filter(({ isLive }) => isLive);
    const old = live.filter(({ version }) => version !== to).length;
    const ranked = live
      .filter(({ version }) => version === to)
      .map(({ id }) => ({ id, rank: hash32(id) }))
      .sort((one, other) => one.rank - other.rank);
    const count = Math.max(1, Math.round(old * canaryEndpointRatio));
    return new Set(ranked.slice(0, count).map(({ id }) => id));
  }

  #endpoints(serviceName: string): readonly VersionedEndpoint[] {
    const nowMs = this.#options.clock.nowMs();
    const cached = this.#cached.get(serviceName);
    if (cached && nowMs < cached.untilMs) return cached.endpoints;
    const endpoints = this.#options.endpointsOf(serviceName);
    this.#cached.set(serviceName, { endpoints, untilMs: nowMs + endpointsTtlMs });
    return endpoints;
  }

  #rollout(serviceName: string): ServiceRollout {
    let rollout = this.#services.get(serviceName);
    if (!rollout) {
      rollout = {
        unknownOrder: undefined,
        hasSeenOther: false,
        state: undefined,
        share: 0,
        confirmedAtMs: -Infinity,
      };
      this.#services.set(serviceName, rollout);
    }
    return rollout;
  }
}

function only(admits: VersionConstraint['admits']): VersionConstraint {
  return { admits, prefers: () => true };
}
