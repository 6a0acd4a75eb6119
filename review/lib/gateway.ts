import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** Options of {@link Gateway}. */
export interface GatewayOptions {
  readonly name: string;
  /** Own loopback address. */
  readonly host: string;
  readonly zone: string;
  readonly storeAddress: string;
  readonly dutyAddress: string;
  /** Directory of the settings file and the log. */
  readonly directory: string;
}

const callerPort = 18_221;
const readyPort = 18_224;
const firstPeerPort = 17_600;

/** The program of the deploy file as a process, started as the deploy file says. */
export class Gateway {
  readonly options: GatewayOptions;
  readonly callerPort = callerPort;
  #child: ChildProcess | undefined;

  constructor(options: GatewayOptions) {
    this.options = options;
    const { name, host, zone, storeAddress, dutyAddress } = options;
    const settings = [
      `node_name=${name}`,
      'role=gateway',
      'machine_class=front',
      'serves=front',
      `ip=${host}`,
      `zone=${zone}`,
      'region=here',
      'zones.here-a=here',
      'zones.here-b=here',
      'zones.here-c=here',
      `listen.front=${host}:${callerPort}`,
      `listen.ready=${host}:${readyPort}`,
      `internal_port_range=${firstPeerPort},${firstPeerPort + 15}`,
      'limits.cpu_share=0.675',
      'limits.cores=1',
      'limits.memory_mb=350',
      'limits.max_fds=4100',
      'heartbeat_ms=1200',
      'bounds.stability_window_ms=4000',
      'bounds.drain_ms=2500',
      'bounds.grace_s=8',
      'bounds.loss_slack_ms=200',
      'bounds.config_apply_ms=2500',
      'bounds.retry_budget_ratio=0.2',
      'bounds.budget_window_s=10',
      'bounds.retry_budget_slack=52',
      'bounds.quota_window_s=8',
      'bounds.quota_overage=0.1',
      'bounds.quota_slack=140000',
      'bounds.fencing_required=true',
      'bounds.lease_ms=3000',
      'bounds.usage_window_s=5',
      'bounds.usage_late_s=10',
      `platform.address=${storeAddress}`,
      'platform.form=log',
      `cloud.address=${dutyAddress}`,
      'cloud.duties=usage,scale',
    ];
    writeFileSync(this.#settingsPath, `${settings.join('\n')}\n`);
  }

  start(): void {
    const [program = 'node', ...words] = deployedCommand();
    const child = spawn(program, words, {
      env: { PATH: process.env.PATH, ORIOLESTACK_NODE_FILE: this.#settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#child = child;
    const log = createWriteStream(join(this.options.directory, `${this.options.name}.log`), {
      flags: 'a',
    });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', () => {
      if (this.#child === child) this.#child = undefined;
      log.end();
    });
  }

  get isRunning(): boolean {
    return this.#child !== undefined;
  }

  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  async kill(): Promise<void> {
    const child = this.#child;
    if (!child) return;
    const exited = once(child, 'exit');
    child.kill('SIGKILL');
    await exited;
  }

  async isReady(): Promise<boolean> {
    try {
      const url = `http://${this.options.host}:${readyPort}/oriolestack/ready`;
      return (await fetch(url, { signal: AbortSignal.timeout(500) })).ok;
    } catch {
      return false;
    }
  }

  get #settingsPath(): string {
    return join(this.options.directory, `${this.options.name}.conf`);
  }
}

/** The words of `run` in the deploy file. */
function deployedCommand(): string[] {
  const run = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1];
  if (run === undefined) throw new Error('deploy/system.toml has no line "run"');
  return run.split(' ');
}
