import type { Clock } from '../core/index.js';
import { EngineFailure } from '../engine/engine-error.js';
import type { EndpointNotice } from './endpoint-notice.js';
import type { EndpointNotices } from './endpoint-notices.js';
import type { EndpointPauses } from './endpoint-pauses.js';
import type { EndpointRegistry } from './endpoint-registry.js';
import { EndpointState, type EndpointView } from './endpoint-view.js';

/** Result of a health probe on a new connection. */
export interface ProbeResponse {
  /** Start time of the answering process in epoch milliseconds; undefined when it reports none. */
  readonly startedAtMs: number | undefined;
  /** Whether the endpoint reports that it takes no new work. */
  readonly isDraining: boolean;
  /** What it says of itself besides; undefined when it says nothing. */
  readonly notice?: EndpointNotice;
}

/** The process to probe. It may have left the registry while its requests are still running. */
export type ProbeTarget = Pick<EndpointView, 'id' | 'name' | 'serviceId' | 'baseUrl'>;

/**
 * Checks the health of an endpoint on a separate connection.
 *
 * @example
 * ```ts
 * const { isDraining } = await probe.probe(view, clock.nowMs() + 1_000);
 * ```
 */
export abstract class EndpointProbe {
  /**
   * @throws Error when there is no answer by `deadlineAtMs` (epoch milliseconds), or when another
   * process answers at the address.
   */
  abstract probe(target: ProbeTarget, deadlineAtMs: number): Promise<ProbeResponse>;
}

/** Cause of a stalled connection. */
export enum StallCause {
  /** The endpoint answers on other connections: only this one, or the request, is stuck. */
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

/** What the probes of one endpoint have shown so far. */
interface Diagnosis {
  /** Result of the latest probe. */
  result: Promise<StallCause>;
  /** Whether the endpoint has sent data on any connection since the latest probe began. */
  hasSentData: boolean;
}

/** Options of {@link StallDetector}. */
export interface StallDetectorOptions {
  readonly clock: Clock;
  readonly registry: EndpointRegistry;
  readonly probe: EndpointProbe;
  readonly probeTimeoutMs?: number;
  /** Pauses that endpoints asked for: a probe is a request too. Without it, none are known. */
  readonly pauses?: EndpointPauses;
  /** Receives what endpoints say of themselves. */
  readonly notices?: EndpointNotices;
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
  readonly #pauses: EndpointPauses | undefined;
  readonly #notices: EndpointNotices | undefined;
  readonly #diagnoses = new Map<string, Diagnosis>();

  constructor(options: StallDetectorOptions) {
    this.#clock = options.clock;
    this.#registry = options.registry;
    this.#probe = options.probe;
    this.#probeTimeoutMs = options.probeTimeoutMs ?? 1_000;
    this.#pauses = options.pauses;
    this.#notices = options.notices;
    // Suspicions from elsewhere, such as a refused connection, need the same probe.
    this.#registry.onSuspect((view) => {
      void this.diagnose(view);
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

  /**
   * Whether an endpoint is unreachable, by the latest probe and by what it has sent since. A suspect
   * endpoint is probed until it answers; one that is not registered any more only while it is asked
   * about.
   */
  async diagnose(target: ProbeTarget): Promise<StallCause> {
    // A probe would reach the later process, which may have asked for a pause.
    if (this.#isReplaced(target)) return StallCause.Unreachable;
    let diagnosis = this.#diagnoses.get(target.id);
    // It has said that it runs, and that it wants no request.
    if (!diagnosis && this.#isPaused(target)) return StallCause.Slow;
    if (!diagnosis) {
      diagnosis = { result: Promise.resolve(StallCause.Slow), hasSentData: false };
      this.#diagnoses.set(target.id, diagnosis);
      this.#startProbe(target, diagnosis, minProbeIntervalMs);
    }
    const cause = await diagnosis.result;
    return diagnosis.hasSentData ? StallCause.Slow : cause;
  }

  /**
   * Records that an endpoint has sent data on any connection. An endpoint at capacity may let its
   * health check wait, but goes on with its work. Cheap enough to be called for each token.
   */
  recordData(endpointId: string): void {
    const diagnosis = this.#diagnoses.get(endpointId);
    if (diagnosis) diagnosis.hasSentData = true;
  }

  #startProbe(target: ProbeTarget, diagnosis: Diagnosis, nextIntervalMs: number): void {
    diagnosis.hasSentData = false;
    diagnosis.result = this.#probeOnce(target, diagnosis, nextIntervalMs);
  }

  async #probeOnce(
    target: ProbeTarget,
    diagnosis: Diagnosis,
    nextIntervalMs: number,
  ): Promise<StallCause> {
    try {
      const answer = await this.#probe.probe(target, this.#clock.nowMs() + this.#probeTimeoutMs);
      this.#diagnoses.delete(target.id);
      this.#applyResponse(target, answer);
      return StallCause.Slow;
    } catch {
      this.#scheduleProbe(target, diagnosis, nextIntervalMs);
      return StallCause.Unreachable;
    }
  }

  /** Whether a later process is registered at the address, so that the one asked about has ended. */
  #isReplaced({ id, baseUrl }: ProbeTarget): boolean {
    if (this.#registry.view(id)) return false;
    return this.#registry.all().some((view) => view.baseUrl === baseUrl);
  }

  #isPaused({ id }: ProbeTarget): boolean {
    return this.#pauses?.isPaused(id, this.#clock.nowMs()) === true;
  }

  #scheduleProbe(target: ProbeTarget, diagnosis: Diagnosis, intervalMs: number): void {
    const nowMs = this.#clock.nowMs();
    const pausedUntilMs = this.#pauses?.nextTryAtMs(target.id, nowMs) ?? nowMs;
    this.#clock.schedule(Math.max(pausedUntilMs, nowMs + intervalMs), () => {
      const view = this.#registry.view(target.id);
      if (view === undefined || view.state === EndpointState.Leaving) {
        this.#diagnoses.delete(target.id);
        return;
      }
      if (this.#isPaused(target)) {
        this.#scheduleProbe(target, diagnosis, intervalMs);
        return;
      }
      this.#startProbe(view, diagnosis, Math.min(maxProbeIntervalMs, 2 * intervalMs));
    });
  }

  #applyResponse(target: ProbeTarget, answer: ProbeResponse): void {
    if (!this.#registry.view(target.id)) return;
    if (answer.startedAtMs !== undefined) {
      this.#registry.observeProcessStart(target.name, answer.startedAtMs);
    }
    // A later start time has replaced the identity; the rest of the answer is about the new one.
    const current = this.#registry.viewByName(target.name);
    if (!current) return;
    if (answer.notice) this.#notices?.apply(current.id, answer.notice);
    if (answer.isDraining) this.#registry.recordDraining(current.id);
    else this.#registry.restore(current.id);
  }
}
