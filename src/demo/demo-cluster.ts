import { createHash, randomBytes } from 'node:crypto';
import { Random } from '../core/index.js';
import { SettingsSession } from '../ctl/index.js';
import { Daemon, parseDaemonSettings } from '../daemon/index.js';
import { HttpLogService } from '../log/index.js';
import { createOperatorSecret, SigningKey } from '../security/index.js';
import { parseSettings, type SectionValues } from '../settings/index.js';
import type { ProposedEdit } from '../settings-publisher/index.js';
import { rootKeyId, type ConfigVerdict } from '../state/index.js';
import { NullMetrics, RoarrEventLog } from '../telemetry/index.js';
import { demoDeployment, DemoPlatform } from './demo-platform.js';

/** How long a settings change may take to be accepted. */
const publishTimeoutMs = 20_000;

/**
 * The demonstration: stand-ins of the platform, three daemons and both teams' settings in one
 * process.
 *
 * @example
 * ```ts
 * const cluster = new DemoCluster();
 * await cluster.start();
 * ```
 */
export class DemoCluster {
  readonly platform = new DemoPlatform();
  readonly daemons: Daemon[] = [];
  readonly clock = this.platform.clock;
  readonly #daemonCount: number;
  readonly #rootSecret = createOperatorSecret();
  readonly #rootPublicKey = SigningKey.fromSecret(this.#rootSecret).publicKey;
  readonly #rpcSecret = randomBytes(24).toString('hex');

  /** @param daemonCount - daemons to start, at most one for each failure domain. */
  constructor(daemonCount = 3) {
    this.#daemonCount = daemonCount;
  }

  /** Base URL of the first daemon's callers' listener. */
  get callerUrl(): string {
    return this.daemons[0]?.urls.caller ?? '';
  }

  /** Key of the tender assistant's counter workspace. */
  get callerKey(): string {
    return this.platform.callerKeys.get('tejidos/counter') ?? '';
  }

  async start(): Promise<void> {
    await this.platform.start();
    const sections = parseSettings(this.platform.settingsText, 'demo.ini');
    await this.publish([...sections].map(([path, values]) => ({ path, values })));
    for (let index = 0; index < this.#daemonCount; index++) {
      const daemon = this.#createDaemon(index);
      await daemon.start();
      this.daemons.push(daemon);
    }
  }

  async stop(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.stop()));
    await this.platform.close();
  }

  /** Publishes a settings change as the root operator and waits for the log's verdict. */
  async publish(edits: readonly ProposedEdit[]): Promise<ConfigVerdict> {
    const { clock } = this;
    const log = new HttpLogService({ baseUrl: this.platform.log.baseUrl });
    const deadlineAtMs = clock.nowMs() + publishTimeoutMs;
    const session = await SettingsSession.open({
      log,
      deployment: demoDeployment,
      rootPublicKey: this.#rootPublicKey,
      key: { keyId: rootKeyId, secret: this.#rootSecret },
      clock,
      random: new Random(seedOf(this.#rpcSecret)),
      deadlineAtMs,
    });
    try {
      return await session.publish(edits, deadlineAtMs);
    } finally {
      await session.close();
      await log.close();
    }
  }

  /** Values of a section in force on a daemon. */
  inForce(daemon: Daemon, path: string): SectionValues | undefined {
    return daemon.components.config.fold.sections().get(path);
  }

  #createDaemon(index: number): Daemon {
    const place = this.platform.failureDomains[index];
    const name = `entry-${index + 1}`;
    const seeds = this.daemons.map((daemon) => new URL(daemon.urls.rpc).host).join(', ');
    const text = [
      '[daemon]',
      `name = ${name}`,
      `deployment = ${demoDeployment}`,
      `region = ${place?.region ?? ''}`,
      `failure_domain = ${place?.failureDomain ?? ''}`,
      'caller_listen = 127.0.0.1:0',
      'admin_listen = 127.0.0.1:0',
      'rpc_listen = 127.0.0.1:0',
      `seeds = ${seeds}`,
      'drain_notice_ms = 500',
      '[log]',
      `base_url = ${this.platform.log.baseUrl}`,
      '[platform]',
      `cloud_url = ${this.platform.cloud.baseUrl}`,
      `weight_store_url = ${this.platform.weightStoreUrl}`,
      '[trust]',
      `root_public_key = "${this.#rootPublicKey}"`,
      `rpc_secret = ${this.#rpcSecret}`,
      '',
    ].join('\n');
    return new Daemon({
      settings: parseDaemonSettings(text, `${name}.ini`),
      clock: this.clock,
      events: new RoarrEventLog({ daemon: name }),
      metrics: new NullMetrics(),
    });
  }
}

function seedOf(text: string): number {
  return createHash('sha256').update(text).digest().readInt32LE(0);
}
