import type { Clock } from '../core/index.js';

/** Options of {@link gracefulStop}. */
export interface GracefulStopOptions {
  readonly clock: Clock;
  /** Time until the load balancer has seen that readiness is off; it still sends requests. */
  readonly deregistrationDelayMs: number;
  /** Longest time until the services are stopped. */
  readonly timeoutMs: number;
  /** Resolves when no request is in flight, at `deadlineAtMs` at the latest. */
  readonly drainCallers: (deadlineAtMs: number) => Promise<void>;
  /** Hands over jobs and records what is pending, until `deadlineAtMs` at the latest. */
  readonly stopServices: (deadlineAtMs: number) => Promise<void>;
  /** Announces the leave to the other daemons. */
  readonly leave: () => Promise<void>;
}

/** Longest time for recording pending state once the last request has ended. */
const servicesStopTimeoutMs = 15_000;

/** Time in which a running process reads the requests that have reached its sockets. */
const settleMs = 100;

/**
 * Waits until the process has run for {@link settleMs} without a pause. After a pause that is longer
 * than the deregistration delay, timers fire before the process reads the requests that arrived in
 * the meantime, which would then be cut off.
 */
async function waitUntilResponsive(clock: Clock): Promise<void> {
  let lateMs: number;
  do {
    const dueAtMs = clock.nowMs() + settleMs;
    await clock.sleepUntil(dueAtMs);
    lateMs = clock.nowMs() - dueAtMs;
  } while (lateMs > settleMs);
}

/**
 * Runs the steps of a planned stop after readiness is off: requests still arrive during the
 * deregistration delay, all requests in flight are answered, and only then do the services stop that
 * answer them.
 *
 * @example
 * ```ts
 * await gracefulStop({ clock, deregistrationDelayMs: 3_000, timeoutMs: 600_000, ...steps });
 * ```
 */
export async function gracefulStop(options: GracefulStopOptions): Promise<void> {
  const { clock, deregistrationDelayMs, timeoutMs } = options;
  const startedAtMs = clock.nowMs();
  const deadlineAtMs = startedAtMs + timeoutMs;
  // The listener stays open until the load balancer has seen that readiness is off.
  await clock.sleepUntil(startedAtMs + Math.max(0, deregistrationDelayMs - settleMs));
  await waitUntilResponsive(clock);
  await options.drainCallers(deadlineAtMs);
  await options.stopServices(Math.min(deadlineAtMs, clock.nowMs() + servicesStopTimeoutMs));
  await options.leave();
}
