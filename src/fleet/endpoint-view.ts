import type { WorkClass } from '../core/index.js';
import type { LoadReport } from '../engine/engine-client.js';
import type { EngineRole } from '../settings/index.js';

/** State of an endpoint as known to a daemon. */
export enum EndpointState {
  /** Configured, but not observed yet. */
  Starting = 'starting',
  Live = 'live',
  /** A connection was refused or stalled; the endpoint is probed on a new one. */
  Suspect = 'suspect',
  /** Announced or observed as leaving; final for this identity. */
  Leaving = 'leaving',
}

/** A daemon's own requests at an endpoint, known without delay. */
export interface OwnInFlight {
  /** Requests by class. */
  readonly requests: Readonly<Record<WorkClass, number>>;
  /** Prompt and expected output tokens still to be processed. */
  readonly pendingTokens: number;
}

/** A load report with its arrival time. */
export interface ReceivedLoadReport extends LoadReport {
  readonly receivedAtMs: number;
}

/** Observed speed of an endpoint, from the daemon's own streams. */
export interface ObservedSpeed {
  /** Smoothed time between tokens, in milliseconds; undefined before the first observation. */
  readonly tokenGapMs: number | undefined;
  /** Smoothed prompt tokens processed per second; undefined before the first observation. */
  readonly prefillTokensPerS: number | undefined;
  /** Slowdown relative to its peers; smoothed, at least 1, where 1 means equally fast. */
  readonly slowdownRatio: number;
}

/**
 * Immutable snapshot of everything that the router may know about an endpoint: its settings, what
 * it reported and how old that is, and what the daemon itself observed.
 *
 * @example
 * ```ts
 * if (view.state !== EndpointState.Live) return 'not live';
 * ```
 */
export interface EndpointView {
  /** VM, process and incarnation. An address under another identity is a new endpoint. */
  readonly id: string;
  /** `team/name` of the settings section. */
  readonly name: string;
  /** `team/service`. */
  readonly serviceId: string;
  readonly baseUrl: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly vmClass: string;
  readonly reclaimable: boolean;
  readonly priceUsdPerHour: number;
  readonly batchSlots: number;
  readonly checksFence: boolean;
  readonly role: EngineRole;
  readonly state: EndpointState;
  /** Latest time at which a leaving endpoint may still run, in epoch milliseconds. */
  readonly leavingAtMs: number | undefined;
  /** Models and adapters loaded now. */
  readonly loadedModels: readonly string[];
  readonly version: string;
  /** No request is sent until this time because recent ones failed; epoch milliseconds. */
  readonly circuitOpenUntilMs: number;
  readonly ownInFlight: OwnInFlight;
  readonly report: ReceivedLoadReport | undefined;
  readonly speed: ObservedSpeed;
}

/** Whether an endpoint was announced or observed to leave, so that it gets no new work. */
export function isLeaving(view: EndpointView): boolean {
  return view.state === EndpointState.Leaving || view.leavingAtMs !== undefined;
}
