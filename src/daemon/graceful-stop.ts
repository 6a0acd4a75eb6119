import type { Clock } from '../core/index.js';

/** Options of {@link gracefulStop}. */
export interface GracefulStopOptions {
  readonly clock: Clock;
  /** Time in which the balancer sees that readiness is off and still sends requests. */
  readonly deregistrationDelayMs: number;
  /** Longest time of the whole stop until the parts are stopped. */
  readonly timeoutMs: number;
  /** Resolves when no request is open, or at `deadlineAtMs`. */
  readonly drainCallers: (deadlineAtMs: number) => Promise<void>;
  /** Hands over jobs and records what is pending, until `deadlineAtMs` at the latest. */
  readonly stopServices: (deadlineAtMs: number) => Promise<void>;
  /** Tells the other daemons. */
  readonly leave: () => Promise<void>;
}

/** Bound on recording what the parts still hold once the last request has ended. */
const servicesStopTimeoutMs = 15_000;

/** Time in which requests that have reached the sockets are read, if the process runs. */
const settleMs = 100;

/**
 * Waits until the process has run for a moment without a pause. After a pause that outlasts the notice
 * its timers fire before it reads the requests that came meanwhile, which then would be cut off.
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
 * Order of a planned stop after readiness is off: requests still arrive during the notice, all open
 * ones are answered, and only then are the parts that answer them stopped.
 *
 * @example
 * ```ts
 * await gracefulStop({ clock, noticeMs: 3_000, timeoutMs: 600_000, ...steps });
 * ```
 */
export async function gracefulStop(options: GracefulStopOptions): Promise<void> {
  const { clock, deregistrationDelayMs, timeoutMs } = options;
  const startedAtMs = clock.nowMs();
  const deadlineAtMs = startedAtMs + timeoutMs;
  // The listener stays open until the balancer has seen that readiness is off.
  await clock.sleepUntil(startedAtMs + Math.max(0, deregistrationDelayMs - settleMs));
  await waitUntilResponsive(clock);
  await options.drainCallers(deadlineAtMs);
  await options.stopServices(Math.min(deadlineAtMs, clock.nowMs() + servicesStopTimeoutMs));
  await options.leave();
}
