import { spawn, type ChildProcess } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { z } from 'zod';
import { EventId } from '../../src/telemetry/index.js';

const root = join(import.meta.dirname, '..', '..');
const line = z.object({ context: z.looseObject({ event: z.enum(EventId) }), message: z.string() });
const urlsSchema = z.looseObject({ caller: z.string(), admin: z.string(), rpc: z.string() });

/** A numbered event as a daemon wrote it to standard error. */
export type DaemonEvent = z.output<typeof line>['context'];

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** One `oriolestackd` process, observed through the events that it writes. */
export class DaemonProcess {
  readonly name: string;
  readonly ended: Promise<ProcessEnd>;
  readonly #child: ChildProcess;
  readonly #events: DaemonEvent[] = [];
  readonly #listeners = new Set<() => void>();
  #errorText = '';
  #end: ProcessEnd | undefined;

  private constructor(name: string, configFile: string, nodeOptions: readonly string[]) {
    this.name = name;
    this.#child = spawn(
      process.execPath,
      [...nodeOptions, join(root, 'dist', 'src', 'daemon', 'main.js'), '--config', configFile],
      { stdio: ['ignore', 'ignore', 'pipe'] },
    );
    this.ended = new Promise((resolve) => {
      this.#child.once('close', (code, signal) => {
        this.#end = { code, signal };
        this.#tell();
        resolve(this.#end);
      });
    });
    const { stderr } = this.#child;
    if (!stderr) throw new Error('the daemon has no standard error');
    createInterface({ input: stderr }).on('line', (text) => {
      this.#onLine(text);
    });
  }

  /**
   * Writes the settings file and starts the daemon; does not wait until it is ready.
   *
   * @param nodeOptions - options of Node itself, such as a module to load first.
   */
  static async start(
    name: string,
    directory: string,
    iniText: string,
    nodeOptions: readonly string[] = [],
  ): Promise<DaemonProcess> {
    const file = join(directory, `${name}.ini`);
    await writeFile(file, iniText);
    return new DaemonProcess(name, file, nodeOptions);
  }

  /** Resolves with the listeners' base URLs once the daemon is ready. */
  async ready(): Promise<z.output<typeof urlsSchema>> {
    return urlsSchema.parse(await this.event(EventId.DaemonReady));
  }

  /** The first event with this number, past or future. @throws Error when the daemon ends first. */
  async event(id: EventId): Promise<DaemonEvent> {
    for (;;) {
      const found = this.#events.find(({ event }) => event === id);
      if (found) return found;
      if (this.#end) {
        const { code, signal } = this.#end;
        const end = `ended (code ${code}, signal ${signal}) before ${EventId[id]}`;
        throw new Error(`${this.name} ${end}: ${this.#errorText}`);
      }
      await new Promise<void>((resolve) => this.#listeners.add(resolve));
    }
  }

  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Kills the daemon, paused or not, and waits for its end. */
  async kill(): Promise<void> {
    this.#child.kill('SIGKILL');
    await this.ended;
  }

  #onLine(text: string): void {
    this.#errorText = `${this.#errorText}${text}\n`.slice(-4_000);
    if (!text.startsWith('{')) return;
    this.#events.push(line.parse(JSON.parse(text)).context);
    this.#tell();
  }

  #tell(): void {
    for (const listener of this.#listeners) listener();
    this.#listeners.clear();
  }
}
