import type { WorkClass } from '../core/index.js';
import type { LoadReport } from '../engine/engine-client.js';
import type { EngineRole } from '../settings/index.js';

/** What a daemon believes about an endpoint's life. */
export enum EndpointState {
  /** Configured, but nothing is known yet. */
  Starting = 'starting',
  Live = 'live',
  /** Some connection went silent; a probe on a new one is out. */
  Suspect = 'suspect',
  /** Announced or observed to leave; final for this identity. */
  Leaving = 'leaving',
}

/** A daemon's own requests at an endpoint, known without delay. */
export interface OwnInFlight {
  /** Requests by class. */
  readonly requests: Readonly<Record<WorkClass, number>>;
  /** Prompt and expected output tokens still to be processed. */
  readonly pendingTokens: number;
}

/** A load report together with its arrival. */
export interface ReceivedLoadReport extends LoadReport {
  readonly receivedAtMs: number;
}

/** Observed speed of an endpoint, from the daemon's own streams. */
export interface ObservedSpeed {
  /** Smoothed time between tokens, in milliseconds; undefined before the first observation. */
  readonly tokenGapMs: number | undefined;
  /** Smoothed prompt tokens processed per second; undefined before the first observation. */
  readonly prefillTokensPerS: number | undefined;
  /** How much slower than its peers, 1 being equal; smoothed, at least 1. */
  readonly slowdownRatio: number;
}

/**
 * Everything that the router may know about an endpoint, as one immutable value: what is configured,
 * what was reported and how old it is, and what the daemon itself observed.
 *
 * @example
 * ```ts
 * if (view.state !== EndpointState.Live) return 'not live';
 * ```
 */
export interface EndpointView {
  /** Identity: VM and incarnation. An address that returns under another identity is a new endpoint. */
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
  /** Deadline of a reclaim notice, in epoch milliseconds. */
  readonly leavingAtMs: number | undefined;
  /** Models and adapters loaded now. */
  readonly loadedModels: readonly string[];
  readonly version: string;
  /** Until this time no request is sent because recent ones failed; epoch milliseconds. */
  readonly circuitOpenUntilMs: number;
  readonly ownInFlight: OwnInFlight;
  readonly report: ReceivedLoadReport | undefined;
  readonly speed: ObservedSpeed;
}
