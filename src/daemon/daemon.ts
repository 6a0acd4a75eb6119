import { createServer as createHttpServer, type Server } from 'node:http';
import { createServer as createHttpsServer } from 'node:https';
import { Random, randomIds, type Clock, type IdSource } from '../core/index.js';
import type { CallerServer } from '../pipeline/index.js';
import {
  clientCertificateAuthenticator,
  RpcClient,
  RpcServer,
  sharedSecretAuthenticator,
  type PeerAuthenticator,
} from '../rpc/index.js';
import { checkListenAddress, TlsContext } from '../security/index.js';
import { EventId, type EventLog, type Metrics } from '../telemetry/index.js';
import { createCallerServer } from './create-caller-server.js';
import { DaemonComponents } from './daemon-components.js';
import type { DaemonSettings } from './daemon-settings.js';
import { gracefulStop } from './graceful-stop.js';
import { fetchKnownOffset } from './known-offset.js';
import { closeServer, listen } from '../core/listener.js';

/** Options of {@link Daemon}. */
export interface DaemonOptions {
  readonly settings: DaemonSettings;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Seed of all random choices; tests set it. */
  readonly seed?: number;
  readonly newId?: IdSource;
}

/** Base URLs of a running daemon's listeners. */
export interface DaemonUrls {
  readonly caller: string;
  readonly admin: string;
  readonly rpc: string;
}

/** State of a started daemon. @internal */
interface Running {
  readonly components: DaemonComponents;
  readonly callers: CallerServer;
  readonly servers: readonly Server[];
  readonly rpcClient: RpcClient;
  readonly tls: TlsContext | undefined;
  readonly urls: DaemonUrls;
}

/** Ids are 36 characters long; 5,000 of them in one line would exceed common log limits. */
const maxIdsPerEvent = 100;

/**
 * One daemon: starts its components in dependency order, and stops them so that no request is cut
 * off.
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
  #running: Running | undefined;
  #isReady = false;
  #isStopping = false;
  #stopPromise: Promise<void> | undefined;

  constructor(options: DaemonOptions) {
    this.#options = options;
  }

  /** Addresses of the listeners. @throws Error before {@link start} has finished. */
  get urls(): DaemonUrls {
    return this.#started.urls;
  }

  /** Ids of callers' requests whose answer is not complete yet. */
  get inFlightIds(): readonly string[] {
    return this.#running?.callers.inFlightIds ?? [];
  }

  /** Whether the platform's load balancer should send new requests. */
  get isReady(): boolean {
    return this.#isReady && !this.#isStopping;
  }

  /** The daemon's components, for tests of the whole daemon. @internal */
  get components(): DaemonComponents {
    return this.#started.components;
  }

  /**
   * Catches up with the log and with peers, then accepts requests from callers.
   *
   * @throws OrioleError when a listener would accept remote connections without authentication.
   */
  async start(): Promise<void> {
    const { settings, clock, events, metrics } = this.#options;
    const { daemon } = settings;
    const tls = await this.#loadTls();
    this.#checkListeners(tls);
    const rpcServer = new RpcServer({ authenticator: this.#peerAuthenticator(tls) });
    const rpcHttp = this.#createServer(tls, true);
    rpcHttp.on('request', rpcServer.handle);
    const scheme = tls ? 'https' : 'http';
    const rpcPort = await listen(rpcHttp, daemon.rpc_listen.host, daemon.rpc_listen.port);
    const rpcUrl = `${scheme}://${daemon.advertised_host}:${rpcPort}`;
    const { rpc_secret } = settings.trust;
    const rpcClient = new RpcClient({
      clock,
      ...(rpc_secret === '' ? {} : { secret: rpc_secret }),
      ...(tls ? { tls: tls.clientOptions() } : {}),
    });
    tls?.onChange(() => {
      rpcClient.reloadTls(tls.clientOptions());
    });
    const newId = this.#options.newId ?? randomIds;
    const seedUrls = daemon.seeds.map((seed) => `${scheme}://${seed}`);
    const components = new DaemonComponents({
      settings,
      clock,
      random: new Random(this.#options.seed ?? Date.now() ^ process.pid),
      newId,
      events,
      metrics,
      tls,
      rpcClient,
      rpcServer,
      rpcUrl,
      adminUrl: `${scheme}://${daemon.advertised_host}:${daemon.admin_listen.port}`,
      minConfigOffset: await fetchKnownOffset(rpcClient, seedUrls, clock),
      state: () => ({ isReady: this.#isReady, isStopping: this.#isStopping }),
      inFlight: () => this.inFlightIds.length,
    });
    const isReady = (): boolean => this.isReady;
    const callers = createCallerServer({ isReady, clock, newId, events, metrics }, components);
    const callerHttp = this.#createServer(tls, false);
    callers.serve(callerHttp);
    await this.#startParts(components);
    const adminListen = daemon.admin_listen;
    const admin = await components.admin.listen(adminListen.host, adminListen.port);
    const callerPort = await listen(
      callerHttp,
      daemon.caller_listen.host,
      daemon.caller_listen.port,
    );
    const urls: DaemonUrls = {
      caller: `${scheme}://${daemon.advertised_host}:${callerPort}`,
      admin: `${scheme}://${daemon.advertised_host}:${admin.port}`,
      rpc: rpcUrl,
    };
    this.#running = { components, callers, servers: [callerHttp, rpcHttp], rpcClient, tls, urls };
    this.#isReady = true;
    events.info(EventId.DaemonReady, 'daemon is ready', { ...urls });
  }

  /**
   * Stops gracefully: turns readiness off, stops accepting work after the deregistration delay,
   * finishes the requests in flight, hands over jobs and announces the leave. Later calls return the
   * same promise.
   */
  stop(): Promise<void> {
    this.#stopPromise ??= this.#stop();
    return this.#stopPromise;
  }

  /**
   * Logs the requests in flight, which the end of the process would cut off now.
   *
   * @returns the number of these requests.
   */
  logCutOffRequests(): number {
    const ids = this.inFlightIds;
    for (let start = 0; start < ids.length; start += maxIdsPerEvent) {
      this.#options.events.error(EventId.StopForced, 'open requests are cut off', {
        inFlight: ids.length,
        requestIds: ids.slice(start, start + maxIdsPerEvent).join(' '),
      });
    }
    return ids.length;
  }

  /** Closes everything at once, as a kill of the process would; for tests. @internal */
  async kill(): Promise<void> {
    const { components, servers, rpcClient, tls } = this.#started;
    await Promise.all(servers.map(closeServer));
    await rpcClient.close();
    await components.close();
    tls?.close();
  }

  async #startParts(components: DaemonComponents): Promise<void> {
    await components.config.replica.ready;
    components.applyDeployment();
    await components.membership.join();
    components.membership.start();
    // Without seeds there is no peer to pull from; the set then fills from the endpoints.
    if (this.#options.settings.daemon.seeds.length > 0) await components.gossip.pullBeforeReady();
    components.calls.start();
    components.jobs.start();
    components.shareUpdater.start();
    await components.poller.start();
    components.startCapacity();
  }

  async #stop(): Promise<void> {
    const { settings, clock, events, metrics } = this.#options;
    const { components, callers, servers, rpcClient, tls } = this.#started;
    const startedAtMs = clock.nowMs();
    this.#isStopping = true;
    events.info(EventId.DaemonStopping, 'graceful stop begins', {
      inFlight: this.inFlightIds.length,
    });
    await gracefulStop({
      clock,
      deregistrationDelayMs: settings.daemon.drain_notice_ms,
      timeoutMs: settings.daemon.drain_timeout_ms,
      drainCallers: async (deadlineAtMs) => {
        await callers.drain(deadlineAtMs);
        this.logCutOffRequests();
      },
      stopServices: async (deadlineAtMs) => {
        await Promise.all([
          components.jobs.stop(deadlineAtMs),
          components.calls.stop(deadlineAtMs),
        ]);
      },
      leave: async () => {
        await components.gossip.pushBeforeStop();
        await components.membership.leave();
      },
    });
    await Promise.all(servers.map(closeServer));
    await rpcClient.close();
    await components.close();
    await metrics.close();
    tls?.close();
    events.info(EventId.DaemonStopped, 'daemon has stopped', {
      elapsedMs: Math.round(clock.nowMs() - startedAtMs),
    });
  }

  #loadTls(): Promise<TlsContext | undefined> {
    const { settings, clock, events, metrics } = this.#options;
    const { certificate_file, key_file, ca_file } = settings.tls;
    if (certificate_file === '') return Promise.resolve(undefined);
    return TlsContext.load({
      files: { certFile: certificate_file, keyFile: key_file, caFile: ca_file },
      clock,
      log: events,
      metrics,
    });
  }

  #createServer(tls: TlsContext | undefined, requireClientCert: boolean): Server {
    if (!tls) return createHttpServer(httpOptions);
    const server = createHttpsServer({
      ...httpOptions,
      ...tls.serverOptions({ requireClientCert }),
    });
    tls.attach(server);
    return server;
  }

  /**
   * Callers and operators always need a key. The RPC listener authenticates peers by certificate or
   * shared secret, and is the only one that can lack both.
   */
  #checkListeners(tls: TlsContext | undefined): void {
    const { daemon, trust } = this.#options.settings;
    checkListenAddress({
      host: daemon.rpc_listen.host,
      listener: 'rpc',
      isAuthenticated: tls !== undefined || trust.rpc_secret !== '',
      allowUnauthenticated: daemon.allow_unauthenticated,
    });
  }

  #peerAuthenticator(tls: TlsContext | undefined): PeerAuthenticator {
    const { rpc_secret, peer_names } = this.#options.settings.trust;
    if (tls) return clientCertificateAuthenticator(() => new Set(peer_names));
    return rpc_secret === '' ? () => true : sharedSecretAuthenticator(rpc_secret);
  }

  get #started(): Running {
    if (!this.#running) throw new Error('the daemon has not started; call start() first');
    return this.#running;
  }
}

/** A client must send its headers within 10 s; the routes set the limits of bodies. */
const httpOptions = {
  maxHeaderSize: 16_384,
  headersTimeout: 10_000,
  // With Node's default of 30 s, slow headers could hold a connection for 40 s.
  connectionsCheckingInterval: 1_000,
  requestTimeout: 0,
} as const;
