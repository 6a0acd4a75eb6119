import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { GatewayStop } from './ledger.js';

/** Options of {@link GatewayProcess}. */
export interface GatewayProcessOptions {
  readonly name: string;
  /** Own loopback address; all gateways use the same ports. */
  readonly host: string;
  readonly storePort: number;
  readonly dutyPort: number;
  /** Directory for the settings file and the log. */
  readonly directory: string;
  readonly retrySlack: number;
  /** Called when the process is asked to stop. */
  readonly onStop: (stop: GatewayStop) => void;
}

/** Time from which a process that was asked to stop may be ended by force, in milliseconds. */
export const graceMs = 8_000;

export const callerPort = 18_080;
const readyPort = 18_081;
const newsPort = 17_600;

/** How far the time of day jumps in runs with a wrong clock. */
const clockJumpMs = 4_000;

/** As built by `npm run build`, from wherever this module is run. */
const program = join(process.cwd(), 'dist/platform/main.js');

/** The real program of the gateway as a process that is stopped, paused, killed and restarted. */
export class GatewayProcess {
  readonly options: GatewayProcessOptions;
  #child: ChildProcess | undefined;
  #runs = 0;

  constructor(options: GatewayProcessOptions) {
    this.options = options;
    const { name, host, storePort, dutyPort, retrySlack } = options;
    writeFileSync(
      this.#settingsPath,
      [
        `node_name=${name}`,
        'region=here',
        'zone=here-a',
        'zones.here-a=here',
        `listen.front=${host}:${callerPort}`,
        `listen.ready=${host}:${readyPort}`,
        `internal_port_range=${newsPort},${newsPort + 15}`,
        `platform.address=${host}:${storePort}`,
        `cloud.address=${host}:${dutyPort}`,
        `bounds.grace_s=${graceMs / 1_000}`,
        'bounds.lease_ms=3000',
        `bounds.retry_budget_slack=${retrySlack}`,
      ].join('\n'),
    );
  }

  /** Number of the run, which tells restarts apart. */
  get run(): number {
    return this.#runs;
  }

  get isRunning(): boolean {
    return this.#child !== undefined;
  }

  /** Starts the program. @param jumps - whether its time of day jumps while it runs. */
  start(jumps = false): void {
    if (this.#child) return;
    const { name, directory } = this.options;
    this.#runs += 1;
    const preload = jumps ? ['--import', clockJump()] : [];
    const child = spawn(process.execPath, [...preload, program], {
      env: { PATH: process.env.PATH, ORIOLESTACK_NODE_FILE: this.#settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#child = child;
    const log = createWriteStream(join(directory, `${name}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', () => {
      if (this.#child === child) this.#child = undefined;
      log.end();
    });
  }

  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Kills the process at once and waits for its end. */
  async kill(): Promise<void> {
    const child = this.#child;
    if (!child) return;
    const exited = once(child, 'exit');
    child.kill('SIGKILL');
    await exited;
  }

  /** Asks the process to stop and waits for its end. */
  async terminate(): Promise<void> {
    const child = this.#child;
    if (!child) return;
    const exited = once(child, 'exit');
    const { name, onStop } = this.options;
    onStop({ gateway: name, gatewayRun: this.#runs, atMs: Date.now() });
    child.kill('SIGCONT');
    child.kill('SIGTERM');
    await exited;
  }

  /** Whether the process says that it takes new connections. */
  async isReady(): Promise<boolean> {
    const { host } = this.options;
    try {
      const url = `http://${host}:${readyPort}/oriolestack/ready`;
      return (await fetch(url, { signal: AbortSignal.timeout(500) })).ok;
    } catch {
      return false; // Not up, or paused.
    }
  }

  get #settingsPath(): string {
    const { directory, name } = this.options;
    return join(directory, `${name}.conf`);
  }
}

/** Module that moves the time of day back and forth, as a wrong clock that is corrected does. */
function clockJump(): string {
  const code = `const now = Date.now.bind(Date); let offset = 0;
    Date.now = () => now() + offset;
    setTimeout(() => { offset = ${clockJumpMs}; }, 2500).unref();
    setTimeout(() => { offset = -${clockJumpMs}; }, 5000).unref();
    setTimeout(() => { offset = 0; }, 7500).unref();`;
  return `data:text/javascript,${encodeURIComponent(code)}`;
}
