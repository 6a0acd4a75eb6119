import type { DutyLease } from '../capacity/duty-lease.js';
import type { Clock } from '../core/index.js';
import { decodeKeyedJson } from '../log/keyed-json.js';
import type { KeyedReplica } from '../log/keyed-replica.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import type { EvidencePool } from './evidence-pool.js';
import type { RolloutOrder } from './rollout-order.js';
import type { RolloutPolicy, RolloutSituation } from './rollout-policy.js';
import { isFinal, RolloutPhase, rolloutStateSchema, type RolloutState } from './rollout-state.js';
import type { RolloutStatusWriter } from './rollout-status-writer.js';

/** Options of {@link RolloutController}. */
export interface RolloutControllerOptions {
  readonly policy: RolloutPolicy;
  readonly lease: Pick<DutyLease, 'fence' | 'append'>;
  /** Copy of the topic of the duties. */
  readonly replica: KeyedReplica;
  readonly orders: () => readonly RolloutOrder[];
  readonly poolOf: (serviceName: string, to: string) => EvidencePool;
  /** What is known of the endpoints and gateways now. */
  readonly situationOf: (
    order: RolloutOrder,
    state: RolloutState | undefined,
    pool: EvidencePool,
  ) => RolloutSituation;
  /** The newest state that this daemon has heard of, which was stored once. */
  readonly knownState: (serviceName: string) => RolloutState | undefined;
  /** Tells all gateways a state and the share that is in force now. */
  readonly confirm: (state: RolloutState, share: number) => void;
  readonly statuses: RolloutStatusWriter;
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Sets the records of rollouts apart from others in the topic of the duties. */
const keyPrefix = 'rollout/';

/** A final state is told for this long; then it is in the store for everyone. */
const finalTellMs = 10_000;

/** Time between two confirmations of the same state. */
const confirmPeriodMs = 450;

/** States that may follow on one another in one tick. */
const maxStepsPerTick = 3;

/** Key of the record of a service's rollout. */
export function rolloutRecordKey(serviceName: string): string {
  return `${keyPrefix}${serviceName}`;
}

/** The state in a record of the topic; undefined when it is about something else or unreadable. */
export function decodeRolloutState(
  key: string,
  value: Uint8Array | undefined,
): RolloutState | undefined {
  if (!key.startsWith(keyPrefix)) return undefined;
  const state = decodeKeyedJson(value, rolloutStateSchema);
  return state && rolloutRecordKey(state.serviceName) === key ? state : undefined;
}

/**
 * Decides the rollouts of all services while this daemon holds the duties. Each state is stored
 * before it is acted on, but for the end of exposure, which cannot wait for the store. A successor
 * continues from the stored states.
 *
 * @example
 * ```ts
 * clock.every(500, () => void controller.tick());
 * ```
 */
export class RolloutController {
  readonly #options: RolloutControllerOptions;
  /** States that this daemon stored last; the replica may not have read them yet. */
  readonly #stored = new Map<string, RolloutState>();
  /** Revisions whose exposure has ended although no further state could be stored, by service. */
  readonly #halted = new Map<string, number>();
  readonly #confirmedAtMs = new Map<string, { readonly revision: number; readonly atMs: number }>();
  #isTicking = false;

  constructor(options: RolloutControllerOptions) {
    this.#options = options;
  }

  /** Advances each rollout; overlapping calls return at once. */
  async tick(): Promise<void> {
    const { lease, orders, events } = this.#options;
    if (this.#isTicking || lease.fence === undefined) return;
    this.#isTicking = true;
    try {
      for (const order of orders()) await this.#advance(order);
    } catch (error) {
      events.error(EventId.RolloutRoundFailed, 'rollouts could not be advanced', {
        reason: error instanceof Error ? error.message : String(error),
      });
    } finally {
      this.#isTicking = false;
    }
  }

  async #advance(order: RolloutOrder): Promise<void> {
    const { lease } = this.#options;
    let state = this.stateOf(order.serviceName);
    const known = this.#options.knownState(order.serviceName);
    if (known && known.revision > (state?.revision ?? -1)) {
      // A store that came back from a copy has lost it, and with it perhaps a verdict.
      if (!(await this.#store(state, known))) return;
      state = known;
    }
    for (let step = 0; step < maxStepsPerTick && lease.fence !== undefined; step++) {
      const next = this.#next(order, state);
      if (!next || next === state) break;
      if (!(await this.#store(state, next))) return;
      state = next;
      // The platform is told of the end of this rollout before the next one begins.
      if (next.to !== order.to) await this.#options.statuses.write(next);
    }
    if (state?.to !== order.to || lease.fence === undefined) return;
    this.#confirm(state);
    await this.#options.statuses.write(state);
  }

  /** The stored state of a service's last rollout; undefined if there is none. */
  stateOf(serviceName: string): RolloutState | undefined {
    const key = rolloutRecordKey(serviceName);
    const read = decodeRolloutState(key, this.#options.replica.get(key)?.value);
    const own = this.#stored.get(serviceName);
    return own && own.revision >= (read?.revision ?? -1) ? own : read;
  }

  #next(order: RolloutOrder, state: RolloutState | undefined): RolloutState | undefined {
    const { policy, poolOf, situationOf, clock } = this.#options;
    if (state && state.to !== order.to && !isFinal(state))
      return policy.supersede(state, clock.nowMs());
    const pool = poolOf(order.serviceName, order.to);
    const situation = situationOf(order, state, pool);
    if (state?.to !== order.to) return policy.begin(order, state, situation);
    return policy.next(state, situation);
  }

  /** @returns whether the state is known to be stored. */
  async #store(state: RolloutState | undefined, next: RolloutState): Promise<boolean> {
    const { lease, events } = this.#options;
    const { serviceName, to, phase, share, reason, revision } = next;
    if (state?.to === to && next.share < state.share) {
      if (phase === RolloutPhase.RolledBack) this.#halted.set(serviceName, state.revision);
      this.#options.confirm(state, next.share);
    }
    if (!(await lease.append(rolloutRecordKey(serviceName), next))) return false;
    this.#stored.set(serviceName, next);
    if (state?.phase !== phase || state.to !== to) {
      const fields = { service: serviceName, version: to, phase, share, reason, revision };
      if (phase === RolloutPhase.RolledBack)
        events.warn(EventId.RolloutPhaseChanged, 'version is rolled back', fields);
      else events.info(EventId.RolloutPhaseChanged, 'rollout has a new phase', fields);
    }
    return true;
  }

  #confirm(state: RolloutState): void {
    const { clock, confirm } = this.#options;
    const nowMs = clock.nowMs();
    if (isFinal(state) && nowMs > state.phaseSinceMs + finalTellMs) return;
    const last = this.#confirmedAtMs.get(state.serviceName);
    if (last?.revision === state.revision && nowMs < last.atMs + confirmPeriodMs) return;
    this.#confirmedAtMs.set(state.serviceName, { revision: state.revision, atMs: nowMs });
    const isHalted = this.#halted.get(state.serviceName) === state.revision;
    confirm(state, isHalted ? 0 : state.share);
  }
}
