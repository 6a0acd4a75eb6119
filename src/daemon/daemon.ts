import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { randomIds, type Clock, type IdSource } from '../core/index.js';
import { HttpLogService } from '../log/index.js';
import {
  AuthenticateStage,
  CallerServer,
  CallerServerObserver,
  ChatAccounts,
  ChatRoute,
  ClassifyStage,
  ClassPredictor,
  GenerateStage,
  GenerationRelay,
  ModelsRoute,
  ParseChatStage,
  Pipeline,
  RetryPermits,
  type CallerRequest,
  type ChatContext,
  type GenerationResult,
} from '../pipeline/index.js';
import type { RequestError, WorkClass } from '../core/index.js';
import { KeyStore } from '../security/index.js';
import { EventId, type EventLog, type Metrics } from '../telemetry/index.js';
import { ConfigSource } from './config-source.js';
import type { DaemonSettings } from './daemon-settings.js';
import { LeastInFlightSelector } from './least-in-flight-selector.js';

/** Options of {@link Daemon}. */
export interface DaemonOptions {
  readonly settings: DaemonSettings;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly newId?: IdSource;
}

/**
 * One daemon: reads the configuration from the log, listens for callers and relays their requests.
 *
 * @example
 * ```ts
 * const daemon = new Daemon({ settings, clock, events, metrics });
 * await daemon.start();
 * await daemon.stop();
 * ```
 */
export class Daemon {
  readonly #options: DaemonOptions;
  readonly #log: HttpLogService;
  readonly #config: ConfigSource;
  readonly #callers: CallerServer;
  readonly #server: Server;
  readonly #following = new AbortController();

  constructor(options: DaemonOptions) {
    this.#options = options;
    const { settings, clock } = options;
    this.#log = new HttpLogService({ baseUrl: settings.log.base_url });
    this.#config = new ConfigSource(this.#log, `${settings.daemon.deployment}.config`, clock);
    this.#callers = this.#createCallerServer();
    this.#server = this.#callers.createHttpServer();
  }

  /** Base URL of the callers' listener. */
  get callerUrl(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `http://${address}:${port}`;
  }

  /** Catches up with the log and starts to listen. */
  async start(): Promise<void> {
    await this.#config.catchUp();
    void this.#config.follow(this.#following.signal);
    const { host, port } = this.#options.settings.daemon.caller_listen;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    this.#options.events.info(EventId.DaemonReady, 'daemon is ready', {
      callerPort: (this.#server.address() as AddressInfo).port,
    });
  }

  /** Finishes the requests in flight and stops. */
  async stop(): Promise<void> {
    this.#options.events.info(EventId.DaemonStopping, 'graceful stop begins', {
      inFlight: this.#callers.inFlightIds.length,
    });
    await this.#callers.whenIdle();
    this.#following.abort();
    this.#server.close();
    this.#server.closeAllConnections();
    await this.#log.close();
    this.#options.events.info(EventId.DaemonStopped, 'daemon has stopped');
  }

  #createCallerServer(): CallerServer {
    const { clock, events, metrics, newId } = this.#options;
    const deployment = (): ConfigSource['deployment'] => this.#config.deployment;
    const keys = new KeyStore({ deployment });
    const authenticate = new AuthenticateStage(keys);
    const relay = new GenerationRelay({
      selector: new LeastInFlightSelector(deployment, clock),
      retries: new FixedRetries(clock),
      clock,
    });
    return new CallerServer({
      routes: [
        new ChatRoute(
          new Pipeline<ChatContext>([
            authenticate,
            new ParseChatStage(clock),
            new ClassifyStage(new DefaultClassPredictor()),
            new GenerateStage({ relay, clock, accounts: new LoggedAccounts(events, metrics) }),
          ]),
        ),
        new ModelsRoute(authenticate),
      ],
      deployment,
      observer: new LoggedFailures(events, metrics),
      clock,
      newId: newId ?? randomIds,
    });
  }
}

class DefaultClassPredictor extends ClassPredictor {
  override predict(context: ChatContext): WorkClass {
    return context.caller.workspace.values.default_class;
  }
}

class FixedRetries extends RetryPermits {
  readonly #clock: Clock;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override nextAttemptAtMs(_request: unknown, attemptsMade: number): number | undefined {
    return attemptsMade < 3 ? this.#clock.nowMs() : undefined;
  }
}

class LoggedAccounts extends ChatAccounts {
  readonly #events: EventLog;
  readonly #metrics: Metrics;

  constructor(events: EventLog, metrics: Metrics) {
    super();
    this.#events = events;
    this.#metrics = metrics;
  }

  override completed(context: ChatContext, result: GenerationResult): void {
    const workspace = context.caller.workspace.id;
    this.#metrics.count('requests_served', 1, { workspace });
    this.#metrics.count('tokens_relayed', result.tokens, { workspace });
    this.#events.info(EventId.RequestServed, 'request served', {
      requestId: context.requestId,
      workspace,
      endpoint: result.endpointName,
      tokens: result.tokens,
      attempts: result.attempts,
      firstTokenMs: Math.round((result.firstTokenAtMs ?? 0) - context.receivedAtMs),
    });
  }
}

class LoggedFailures extends CallerServerObserver {
  readonly #events: EventLog;
  readonly #metrics: Metrics;

  constructor(events: EventLog, metrics: Metrics) {
    super();
    this.#events = events;
    this.#metrics = metrics;
  }

  override failed(request: CallerRequest, error: RequestError): void {
    this.#metrics.count('requests_failed', 1, { code: error.code });
    this.#events.warn(EventId.RequestRefused, error.message, {
      requestId: request.requestId,
      code: error.code,
      status: error.status,
      step: error.step,
      peer: error.peer,
    });
  }
}
