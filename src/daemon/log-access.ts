import type { Clock, IdSource, Random } from '../core/index.js';
import {
  AppendBudget,
  Appender,
  CircuitBreaker,
  CircuitState,
  HttpLogService,
  Snapshotter,
} from '../log/index.js';
import { StreamReplica, type Fold } from '../state/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import type { DaemonSettings } from './daemon-settings.js';

/** A stream that the daemon follows and writes to. */
export interface OpenStream<F extends Fold> {
  readonly fold: F;
  readonly replica: StreamReplica;
  readonly writer: Appender;
  /** Stops reading and writing the stream. */
  close(): Promise<void>;
}

/** Options of {@link LogAccess}. */
export interface LogAccessOptions {
  readonly settings: DaemonSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly newId: IdSource;
  readonly events: EventLog;
}

/**
 * Access to the log service, with one client, one circuit breaker and one share of the append budget
 * for all streams of the daemon.
 *
 * @example
 * ```ts
 * const stream = access.open('prod.jobs.0', new JobFold());
 * await stream.replica.ready;
 * ```
 */
export class LogAccess {
  readonly budget: AppendBudget;
  readonly #options: LogAccessOptions;
  readonly #log: HttpLogService;
  readonly #breaker: CircuitBreaker;

  constructor(options: LogAccessOptions) {
    this.#options = options;
    const { settings, clock, random } = options;
    this.#log = new HttpLogService({ baseUrl: settings.log.base_url });
    this.budget = new AppendBudget({ clock, appendsPerS: settings.log.append_rate_per_s });
    this.#breaker = new CircuitBreaker({
      clock,
      random,
      onChange: (state) => {
        options.events.warn(EventId.LogCircuitChanged, `circuit to the log is ${state}`, { state });
      },
    });
  }

  /** False while the circuit to the log service is open. */
  get isReachable(): boolean {
    return this.#breaker.state === CircuitState.Closed;
  }

  /**
   * Opens a stream of the deployment and starts to follow it.
   *
   * @param minReadyOffset - the stream is not ready below this offset, such as one a peer reported.
   * @param hasBarrier - whether an append confirms the stream's end before it is ready, for state
   *   that must never be older than before a restart.
   */
  open<F extends Fold>(
    name: string,
    fold: F,
    minReadyOffset = 0,
    hasBarrier = false,
  ): OpenStream<F> {
    const { settings, clock, random, newId, events } = this.#options;
    const stream = `${settings.daemon.deployment}.${name}`;
    const replica = new StreamReplica({
      log: this.#log,
      stream,
      fold,
      clock,
      random: random.fork(),
      events,
      minReadyOffset,
      ...(hasBarrier ? { barrier: { writer: settings.daemon.name, newId } } : {}),
    });
    const writer = new Appender({
      log: this.#log,
      stream,
      writer: settings.daemon.name,
      feed: replica,
      clock,
      random: random.fork(),
      newId,
      budget: this.budget,
      breaker: this.#breaker,
      events,
    });
    const snapshotter = new Snapshotter({
      source: replica,
      writer,
      clock,
      random: random.fork(),
      newId,
      events,
      retentionMs: settings.log.retention_ms,
    });
    replica.start();
    snapshotter.start();
    return {
      fold,
      replica,
      writer,
      close: async () => {
        snapshotter.stop();
        writer.stop();
        await replica.stop();
      },
    };
  }

  async close(): Promise<void> {
    await this.#log.close();
  }
}
