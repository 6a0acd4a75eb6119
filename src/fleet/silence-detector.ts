import type { Clock } from '../core/index.js';
import { EngineFailure } from '../engine/engine-error.js';
import type { EndpointRegistry } from './endpoint-registry.js';
import { EndpointState, type EndpointView } from './endpoint-view.js';

/** What a probe on a new connection learned. */
export interface ProbeAnswer {
  /** Start time of the answering process in epoch milliseconds; undefined when it tells none. */
  readonly startedAtMs: number | undefined;
  /** Whether the endpoint says that it takes no new work. */
  readonly isDraining: boolean;
}

/**
 * Asks an endpoint for its health on a connection of its own.
 *
 * @example
 * ```ts
 * const { isDraining } = await probe.probe(view.baseUrl, clock.nowMs() + 1_000);
 * ```
 */
export abstract class EndpointProbe {
  /** @throws Error when there is no answer by `deadlineAtMs` (epoch milliseconds). */
  abstract probe(baseUrl: string, deadlineAtMs: number): Promise<ProbeAnswer>;
}

/** What the silence of a connection meant. */
export enum SilenceVerdict {
  /** A new connection was answered: only the old one, or the request, is stuck. */
  Slow = 'slow',
  /** A new connection was not answered either. */
  Silent = 'silent',
}

/** A connection being watched. */
export interface SilenceWatch {
  /** Tells that something arrived. Cheap enough for each token. */
  touch(): void;
  /** Ends the watch. */
  end(): void;
}

/** Options of {@link SilenceDetector}. */
export interface SilenceDetectorOptions {
  readonly clock: Clock;
  readonly registry: EndpointRegistry;
  readonly probe: EndpointProbe;
  readonly probeTimeoutMs?: number;
}

const probeGapMs = 1_000;
const maxProbeGapMs = 10_000;

/**
 * Longest silence of an engine stream before it is suspect.
 *
 * @param p99TokenGapMs - of the endpoint or its peers; undefined before enough was observed.
 * @param floorMs - `silence_ms` of the routing settings.
 */
export function silenceBoundMs(p99TokenGapMs: number | undefined, floorMs = 3_000): number {
  return Math.max(floorMs, 8 * (p99TokenGapMs ?? 0));
}

/**
 * Finds connections that went silent and tells slow endpoints from silent ones. The owner destroys
 * a connection that it is told about, whatever the verdict: it may stay silent for ever.
 *
 * @example
 * ```ts
 * const watch = silence.watch(view.id, silenceBoundMs(p99), () => socket.destroy());
 * ```
 */
export class SilenceDetector {
  readonly #clock: Clock;
  readonly #registry: EndpointRegistry;
  readonly #probe: EndpointProbe;
  readonly #probeTimeoutMs: number;
  readonly #probing = new Map<string, Promise<SilenceVerdict>>();

  constructor(options: SilenceDetectorOptions) {
    this.#clock = options.clock;
    this.#registry = options.registry;
    this.#probe = options.probe;
    this.#probeTimeoutMs = options.probeTimeoutMs ?? 1_000;
    // Suspicions from elsewhere, such as a refused connect, need the same probe.
    this.#registry.onSuspect((view) => {
      void this.verdict(view.id);
    });
  }

  /**
   * Watches one connection to an endpoint.
   *
   * @param boundMs - silence that makes the endpoint suspect.
   * @param onSilent - called at most once; the connection must not be used afterwards.
   */
  watch(endpointId: string, boundMs: number, onSilent: () => void): SilenceWatch {
    let lastAtMs = this.#clock.nowMs();
    let cancel: () => void = () => undefined;
    // The timer is set once per bound and not once per token: a daemon relays 22,000 events/s.
    const arm = (): void => {
      cancel = this.#clock.schedule(lastAtMs + boundMs, () => {
        if (this.#clock.nowMs() < lastAtMs + boundMs) {
          arm();
          return;
        }
        this.#registry.recordFailure(endpointId, EngineFailure.Silent);
        onSilent();
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

  /** Result of the first probe of a suspect endpoint; probing goes on until it is answered. */
  verdict(endpointId: string): Promise<SilenceVerdict> {
    let verdict = this.#probing.get(endpointId);
    if (!verdict) {
      verdict = this.#probeOnce(endpointId, probeGapMs);
      this.#probing.set(endpointId, verdict);
    }
    return verdict;
  }

  async #probeOnce(endpointId: string, nextGapMs: number): Promise<SilenceVerdict> {
    const view = this.#registry.view(endpointId);
    if (!view) {
      this.#probing.delete(endpointId);
      return SilenceVerdict.Silent;
    }
    try {
      const answer = await this.#probe.probe(
        view.baseUrl,
        this.#clock.nowMs() + this.#probeTimeoutMs,
      );
      this.#probing.delete(endpointId);
      this.#take(view, answer);
      return SilenceVerdict.Slow;
    } catch {
      this.#probeLater(endpointId, nextGapMs);
      return SilenceVerdict.Silent;
    }
  }

  #probeLater(endpointId: string, gapMs: number): void {
    this.#clock.schedule(this.#clock.nowMs() + gapMs, () => {
      const state = this.#registry.view(endpointId)?.state;
      if (state === undefined || state === EndpointState.Leaving) {
        this.#probing.delete(endpointId);
        return;
      }
      void this.#probeOnce(endpointId, Math.min(maxProbeGapMs, 2 * gapMs));
    });
  }

  #take(view: EndpointView, answer: ProbeAnswer): void {
    if (answer.startedAtMs !== undefined) {
      this.#registry.observeProcessStart(view.name, answer.startedAtMs);
    }
    // A later start time has replaced the identity, and the rest is about the new one.
    const current = this.#registry.all().find(({ name }) => name === view.name);
    if (!current) return;
    if (answer.isDraining) this.#registry.recordDraining(current.id);
    else this.#registry.restore(current.id);
  }
}
