import { LRUCache } from 'lru-cache';
import { EventId, type EventLog } from '../telemetry/index.js';

/** Endpoints that are kept; bounds the memory, as anybody can send datagrams. */
const maxEndpoints = 8_192;

/**
 * Time after the endpoint's response for which it is avoided, in milliseconds. Its registration, or
 * its own response to this daemon, tells for good by then.
 */
const avoidanceMs = 30_000;

/** Options of {@link PeerLeavings}. */
export interface PeerLeavingsOptions {
  readonly events: EventLog;
}

/**
 * Endpoints that have told other daemons by a response that they leave, before their registrations
 * say so. A report is about one start of a process, since the identity names the start. It comes by
 * a datagram, which anybody can send: the endpoint is avoided for a time, and is not leaving for
 * good until it says so itself.
 *
 * @example
 * ```ts
 * leavings.report('i-7:registered/i-7#1764900000000', 'front-2', 12, clock.nowMs());
 * ```
 */
export class PeerLeavings {
  readonly #options: PeerLeavingsOptions;
  readonly #avoidedUntilMs = new LRUCache<string, number>({ max: maxEndpoints });

  constructor(options: PeerLeavingsOptions) {
    this.#options = options;
  }

  /** Whether no endpoint is avoided. */
  get isEmpty(): boolean {
    return this.#avoidedUntilMs.size === 0;
  }

  /**
   * Records that a daemon was told that an endpoint leaves.
   *
   * @param ageMs - milliseconds since the endpoint's response. Later reports of older responses
   * change nothing.
   */
  report(endpointId: string, daemon: string, ageMs: number, nowMs: number): void {
    const untilMs = nowMs + avoidanceMs - ageMs;
    const knownMs = this.#avoidedUntilMs.get(endpointId);
    if (untilMs <= Math.max(nowMs, knownMs ?? -Infinity)) return;
    this.#avoidedUntilMs.set(endpointId, untilMs);
    if (knownMs !== undefined && nowMs < knownMs) return;
    this.#options.events.info(
      EventId.EndpointLeavingForPeer,
      'endpoint has told another daemon that it leaves; avoided for now',
      { endpoint: endpointId, daemon, ageMs: Math.round(ageMs) },
    );
  }

  /** Whether an endpoint leaves, as others were told. */
  isLeaving(endpointId: string, nowMs: number): boolean {
    const untilMs = this.#avoidedUntilMs.get(endpointId);
    if (untilMs === undefined) return false;
    if (nowMs < untilMs) return true;
    this.#avoidedUntilMs.delete(endpointId);
    return false;
  }

  /** Removes an endpoint whose identity is gone. */
  remove(endpointId: string): void {
    this.#avoidedUntilMs.delete(endpointId);
  }
}
