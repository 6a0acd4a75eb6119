import type { Clock } from '../core/index.js';
import { EngineFailure } from '../engine/engine-error.js';
import type { EndpointRegistry } from './endpoint-registry.js';
import { EndpointState, type EndpointView } from './endpoint-view.js';

/** Result of a health probe on a new connection. */
export interface ProbeResponse {
  /** Start time of the answering process in epoch milliseconds; undefined when it reports none. */
  readonly startedAtMs: number | undefined;
  /** Whether the endpoint reports that it takes no new work. */
  readonly isDraining: boolean;
}

/**
 * Checks the health of an endpoint on a separate connection.
 *
 * @example
 * ```ts
 * const { isDraining } = await probe.probe(view.baseUrl, clock.nowMs() + 1_000);
 * ```
 */
export abstract class EndpointProbe {
  /** @throws Error when there is no answer by `deadlineAtMs` (epoch milliseconds). */
  abstract probe(baseUrl: string, deadlineAtMs: number): Promise<ProbeResponse>;
}

/** Cause of a stalled connection. */
export enum StallCause {
  /** A new connection was answered: only the old one, or the request, is stuck. */
  Slow = 'slow',
  /** A new connection was not answered either. */
  Unreachable = 'silent',
}

/** Watch on a connection. */
export interface StallWatch {
  /** Records that data arrived. Cheap enough to be called for each token. */
  touch(): void;
  /** Ends the watch. */
  end(): void;
}

/** Options of {@link StallDetector}. */
export interface StallDetectorOptions {
  readonly clock: Clock;
  readonly registry: EndpointRegistry;
  readonly probe: EndpointProbe;
  readonly probeTimeoutMs?: number;
}

const minProbeIntervalMs = 1_000;
const maxProbeIntervalMs = 10_000;

/**
 * Longest time without data on an engine stream before the endpoint is suspect, in milliseconds.
 *
 * @param p99TokenGapMs - of the endpoint or its peers; undefined before enough observations.
 * @param floorMs - `silence_ms` of the routing settings.
 */
export function stallTimeoutMs(p99TokenGapMs: number | undefined, floorMs = 3_000): number {
  return Math.max(floorMs, 8 * (p99TokenGapMs ?? 0));
}

/**
 * Detects stalled connections and distinguishes slow endpoints from unreachable ones. The owner
 * destroys a connection that is reported as stalled, whatever the cause: it may never recover.
 *
 * @example
 * ```ts
 * const watch = detector.watch(view.id, stallTimeoutMs(p99), () => socket.destroy());
 * ```
 */
export class StallDetector {
  readonly #clock: Clock;
  readonly #registry: EndpointRegistry;
  readonly #probe: EndpointProbe;
  readonly #probeTimeoutMs: number;
  readonly #probes = new Map<string, Promise<StallCause>>();

  constructor(options: StallDetectorOptions) {
    this.#clock = options.clock;
    this.#registry = options.registry;
    this.#probe = options.probe;
    this.#probeTimeoutMs = options.probeTimeoutMs ?? 1_000;
    // Suspicions from elsewhere, such as a refused connection, need the same probe.
    this.#registry.onSuspect((view) => {
      void this.diagnose(view.id);
    });
  }

  /**
   * Watches one connection to an endpoint.
   *
   * @param timeoutMs - time without data that makes the endpoint suspect.
   * @param onStall - called at most once; the connection must not be used afterwards.
   */
  watch(endpointId: string, timeoutMs: number, onStall: () => void): StallWatch {
    let lastAtMs = this.#clock.nowMs();
    let cancel: () => void = () => undefined;
    // The timer is set once per timeout and not once per token: a daemon relays 22,000 events/s.
    const arm = (): void => {
      cancel = this.#clock.schedule(lastAtMs + timeoutMs, () => {
        if (this.#clock.nowMs() < lastAtMs + timeoutMs) {
          arm();
          return;
        }
        this.#registry.recordFailure(endpointId, EngineFailure.TimedOut);
        onStall();
      });
    };
    arm();
    return {
      touch: () => {
        lastAtMs = this.#clock.nowMs();
      },
      end: () => {
        cancel();
      },
    };
  }

  /** Result of the first probe of a suspect endpoint; probes are repeated until one is answered. */
  diagnose(endpointId: string): Promise<StallCause> {
    let diagnosis = this.#probes.get(endpointId);
    if (!diagnosis) {
      diagnosis = this.#probeOnce(endpointId, minProbeIntervalMs);
      this.#probes.set(endpointId, diagnosis);
    }
    return diagnosis;
  }

  async #probeOnce(endpointId: string, nextIntervalMs: number): Promise<StallCause> {
    const view = this.#registry.view(endpointId);
    if (!view) {
      this.#probes.delete(endpointId);
      return StallCause.Unreachable;
    }
    try {
      const answer = await this.#probe.probe(
        view.baseUrl,
        this.#clock.nowMs() + this.#probeTimeoutMs,
      );
      this.#probes.delete(endpointId);
      this.#applyResponse(view, answer);
      return StallCause.Slow;
    } catch {
      this.#scheduleProbe(endpointId, nextIntervalMs);
      return StallCause.Unreachable;
    }
  }

  #scheduleProbe(endpointId: string, intervalMs: number): void {
    this.#clock.schedule(this.#clock.nowMs() + intervalMs, () => {
      const state = this.#registry.view(endpointId)?.state;
      if (state === undefined || state === EndpointState.Leaving) {
        this.#probes.delete(endpointId);
        return;
      }
      void this.#probeOnce(endpointId, Math.min(maxProbeIntervalMs, 2 * intervalMs));
    });
  }

  #applyResponse(view: EndpointView, answer: ProbeResponse): void {
    if (answer.startedAtMs !== undefined) {
      this.#registry.observeProcessStart(view.name, answer.startedAtMs);
    }
    // A later start time has replaced the identity; the rest of the answer is about the new one.
    const current = this.#registry.all().find(({ name }) => name === view.name);
    if (!current) return;
    if (answer.isDraining) this.#registry.recordDraining(current.id);
    else this.#registry.restore(current.id);
  }
}
