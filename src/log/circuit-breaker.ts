import type { Clock, Random } from '../core/index.js';
import { RetryDelay } from './retry-delay.js';

/** State of a {@link CircuitBreaker}. */
export enum CircuitState {
  Closed = 'closed',
  Open = 'open',
  /** One probe is in flight; its result closes or opens the circuit. */
  HalfOpen = 'half_open',
}

/** Options of {@link CircuitBreaker}. */
export interface CircuitBreakerOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Consecutive failures that open the circuit. */
  readonly failureThreshold?: number;
  readonly baseOpenMs?: number;
  readonly maxOpenMs?: number;
  /** Called on each change of state. */
  readonly onChange?: (state: CircuitState) => void;
}

/**
 * Stops calls to a service that keeps failing, and probes it with single calls at growing, jittered
 * intervals. One breaker is shared by all appenders of a daemon.
 *
 * @example
 * ```ts
 * if (breaker.tryAcquire()) {
 *   try { await send(); breaker.recordSuccess(); } catch { breaker.recordFailure(); }
 * }
 * ```
 */
export class CircuitBreaker {
  readonly #clock: Clock;
  readonly #failureThreshold: number;
  readonly #retryDelay: RetryDelay;
  readonly #onChange: (state: CircuitState) => void;
  #state = CircuitState.Closed;
  #failures = 0;
  #retryAtMs = 0;

  constructor(options: CircuitBreakerOptions) {
    this.#clock = options.clock;
    this.#failureThreshold = options.failureThreshold ?? 5;
    this.#retryDelay = new RetryDelay({
      random: options.random,
      baseMs: options.baseOpenMs ?? 500,
      maxMs: options.maxOpenMs ?? 10_000,
    });
    this.#onChange = options.onChange ?? (() => undefined);
  }

  get state(): CircuitState {
    return this.#state;
  }

  /** Epoch milliseconds at which an open circuit admits its next probe. */
  get retryAtMs(): number {
    return this.#retryAtMs;
  }

  /**
   * Returns true when a call may be sent now. The caller then reports its result with
   * {@link recordSuccess} or {@link recordFailure}.
   */
  tryAcquire(): boolean {
    if (this.#state === CircuitState.Closed) return true;
    if (this.#state === CircuitState.HalfOpen || this.#clock.nowMs() < this.#retryAtMs) {
      return false;
    }
    this.#transitionTo(CircuitState.HalfOpen);
    return true;
  }

  recordSuccess(): void {
    this.#failures = 0;
    this.#retryDelay.reset();
    this.#transitionTo(CircuitState.Closed);
  }

  recordFailure(): void {
    this.#failures += 1;
    if (this.#state === CircuitState.Open) return;
    if (this.#state === CircuitState.HalfOpen || this.#failures >= this.#failureThreshold) {
      this.#retryAtMs = this.#clock.nowMs() + this.#retryDelay.nextMs();
      this.#transitionTo(CircuitState.Open);
    }
  }

  #transitionTo(state: CircuitState): void {
    if (state === this.#state) return;
    this.#state = state;
    this.#onChange(state);
  }
}
