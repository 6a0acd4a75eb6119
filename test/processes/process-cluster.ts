import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { createParser } from 'eventsource-parser';
import { z } from 'zod';
import { sha256Hex } from '../../src/core/index.js';
import { tejidos, teamSettings } from '../../src/demo/team-settings.js';
import {
  createBearerKey,
  formatBearerKey,
  hashSecret,
  SigningKey,
} from '../../src/security/index.js';
import { EngineServer, LogServer, PlainServer } from '../../src/standins/index.js';
import { DaemonProcess } from './daemon-process.js';

const root = join(import.meta.dirname, '..', '..');
const deployment = 'prod';
const workspace = 'tenders';
const daemonCount = 3;
const engineCount = 3;

/** Result of an `oriolectl` process. */
export interface CtlResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Answer of a chat stream or a job. */
export interface ReadAnswer {
  readonly text: string;
  /** Whether the stream said itself that it is complete. */
  readonly isComplete: boolean;
}

const chatChunk = z.looseObject({
  choices: z.array(z.looseObject({ delta: z.looseObject({ content: z.string().optional() }) })),
});
const textFrame = z.object({ offset: z.number(), text: z.string() });
const endFrame = z.object({ length_chars: z.number(), sha256: z.string() });
const envelope = z.object({ entries: z.array(z.looseObject({ kind: z.string() })) });

/** Polls until `condition` gives a value; the test's own timeout bounds it. */
export async function until<T>(
  condition: () => Promise<T | undefined> | T | undefined,
): Promise<NonNullable<T>> {
  for (;;) {
    const value = await condition();
    if (value !== undefined && value !== null && value !== false) return value;
    await sleep(25);
  }
}

/**
 * Three daemon processes on loopback against stand-ins in the test's process, with the settings of
 * one team published by `oriolectl`.
 */
export class ProcessCluster {
  readonly log = new LogServer();
  readonly engines: EngineServer[] = [];
  readonly plain = new PlainServer({ name: 'orders-1', vmId: 'vm-orders-1' });
  readonly daemons: DaemonProcess[] = [];
  /** Options of Node for the daemons that are started from now on. */
  nodeOptions: readonly string[] = [];
  readonly #callerKey = createBearerKey('tejidos/tenders-key');
  readonly #operatorKey = createBearerKey('tejidos/ops');
  readonly #rootKey = createBearerKey('root');
  readonly #callerUrls: string[] = [];
  #directory = '';
  readonly #adminUrls: string[] = [];
  #adminUrl = '';
  #logUrl = '';

  async start(): Promise<void> {
    this.#directory = await mkdtemp(join(tmpdir(), 'oriole-processes-'));
    await this.log.listen();
    this.#logUrl = this.log.baseUrl;
    await this.plain.listen();
    for (let index = 1; index <= engineCount; index++) {
      const engine = new EngineServer({
        name: `assistant-${index}`,
        vmId: `vm-assistant-${index}`,
        models: [tejidos.model],
      });
      await engine.listen();
      this.engines.push(engine);
    }
    await this.#publishTeam();
    const first = await this.#startDaemon('entry-1', '');
    const seeds = new URL(first.rpc).host;
    const rest = await Promise.all(
      ['entry-2', 'entry-3'].map((name) => this.#startDaemon(name, seeds)),
    );
    // Daemons that start together are kept in the order of their names, as their URLs are.
    this.daemons.sort((left, right) => (left.name < right.name ? -1 : 1));
    for (const { caller, admin } of [first, ...rest]) {
      this.#callerUrls.push(caller);
      this.#adminUrls.push(admin);
    }
    this.#adminUrl = first.admin;
    // Homes of shards move until all daemons know each other.
    await until(async () => (await this.liveMembers()).every((count) => count === daemonCount));
  }

  async close(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    await Promise.all([...this.engines, this.plain, this.log].map((server) => server.close()));
    await rm(this.#directory, { recursive: true });
  }

  /** Live members as each answering daemon counts them. */
  async liveMembers(): Promise<number[]> {
    const { out } = await this.ctl('status', '--json');
    const answer = z.object({ liveMembers: z.number() });
    const { answers } = z.object({ answers: z.array(z.object({ answer })) }).parse(JSON.parse(out));
    return answers.map((one) => one.answer.liveMembers);
  }

  daemon(index: number): DaemonProcess {
    const daemon = this.daemons[index];
    if (!daemon) throw new Error(`there is no daemon ${index}`);
    return daemon;
  }

  /** Lets `oriolectl` ask another daemon, as when the first is gone. */
  useAdminOf(index: number): void {
    this.#adminUrl = this.#adminUrls[index] ?? '';
  }

  /** Runs `oriolectl` as a process with the operator's key. */
  ctl(...args: string[]): Promise<CtlResult> {
    return this.#ctl('ops.key', args);
  }

  async #startDaemon(name: string, seeds: string): ReturnType<DaemonProcess['ready']> {
    const iniText = this.#daemonIni(name, seeds);
    const daemon = await DaemonProcess.start(name, this.#directory, iniText, this.nodeOptions);
    this.daemons.push(daemon);
    return daemon.ready();
  }

  /** Writes a file for `oriolectl` and returns its path. */
  async file(name: string, text: string): Promise<string> {
    const path = join(this.#directory, name);
    await writeFile(path, text);
    return path;
  }

  fetch(daemon: number, path: string, init: RequestInit = {}): Promise<Response> {
    const headers = new Headers(init.headers);
    headers.set('authorization', `Bearer ${formatBearerKey(this.#callerKey)}`);
    return fetch(`${this.#callerUrls[daemon] ?? ''}${path}`, { ...init, headers });
  }

  post(
    daemon: number,
    path: string,
    body: unknown,
    headers: Record<string, string> = {},
  ): Promise<Response> {
    return this.fetch(daemon, path, {
      method: 'POST',
      headers: { 'content-type': 'application/json', ...headers },
      body: JSON.stringify(body),
    });
  }

  /** Opens a chat stream; `onText` sees the text received so far. */
  async chat(
    daemon: number,
    prompt: string,
    onText: (text: string) => void = () => undefined,
  ): Promise<ReadAnswer> {
    const response = await this.post(daemon, '/v1/chat/completions', {
      model: tejidos.model,
      messages: messagesOf(prompt),
      stream: true,
    });
    let text = '';
    let isComplete = false;
    await readEvents(response, (_event, data) => {
      if (data === '[DONE]') isComplete = true;
      else {
        text += chatChunk.parse(JSON.parse(data)).choices[0]?.delta.content ?? '';
        onText(text);
      }
    });
    return { text, isComplete };
  }

  /** Accepts a job at a daemon and returns its id. */
  async acceptJob(daemon: number, prompt: string): Promise<string> {
    const response = await this.post(daemon, '/v1/jobs', {
      model: tejidos.model,
      messages: messagesOf(prompt),
    });
    return z.object({ id: z.string() }).parse(await response.json()).id;
  }

  /** Reads a job's stream to its end and checks each frame against the text before it. */
  async readJob(daemon: number, jobId: string): Promise<ReadAnswer> {
    const response = await this.fetch(daemon, `/v1/jobs/${jobId}/stream?offset=0`);
    let text = '';
    let isComplete = false;
    await readEvents(response, (event, data) => {
      if (event === 'text') {
        const frame = textFrame.parse(JSON.parse(data));
        if (frame.offset !== text.length) throw new Error(`gap at ${text.length}`);
        text += frame.text;
      } else if (event === 'end') {
        const end = endFrame.parse(JSON.parse(data));
        isComplete = end.length_chars === text.length && end.sha256 === sha256Hex(text);
      }
    });
    return { text, isComplete };
  }

  /** Entries of one kind in the log, over all shards of a stream. */
  entries(stream: 'jobs' | 'claims', kind: string): Record<string, unknown>[] {
    return [0, 1, 2, 3].flatMap((shard) =>
      this.log.log
        .recordsOf(`${deployment}.${stream}.${shard}`)
        .flatMap(({ data }) => envelope.parse(JSON.parse(data)).entries)
        .filter((entry) => entry.kind === kind),
    );
  }

  /** The engine that last started a generation whose request id begins with `prefix`. */
  engineOf(prefix = ''): EngineServer | undefined {
    return this.engines.find(({ startedRequests }) =>
      startedRequests.some((requestId) => requestId.startsWith(prefix)),
    );
  }

  #ctl(keyFile: string, args: readonly string[]): Promise<CtlResult> {
    const env = {
      ...process.env,
      ORIOLECTL_ADMIN_URL: this.#adminUrl,
      ORIOLECTL_LOG_URL: this.#logUrl,
      ORIOLECTL_DEPLOYMENT: deployment,
      ORIOLECTL_ROOT_PUBLIC_KEY: SigningKey.fromSecret(this.#rootKey.secret).publicKey,
      ORIOLECTL_KEY_FILE: join(this.#directory, keyFile),
    };
    const program = join(root, 'dist', 'src', 'ctl', 'main.js');
    return new Promise((resolve) => {
      const child = execFile(process.execPath, [program, ...args], { env }, (_error, out, err) => {
        resolve({ code: child.exitCode ?? -1, out, err });
      });
    });
  }

  /** Publishes the team's settings with the root key, before any daemon runs. */
  async #publishTeam(): Promise<void> {
    await this.file('root.key', formatBearerKey(this.#rootKey));
    await this.file('ops.key', formatBearerKey(this.#operatorKey));
    const place = { region: 'litoral', failureDomain: 'litoral-rosario' };
    const endpoint = (server: EngineServer | PlainServer, service: string) => ({
      name: server.name,
      service,
      baseUrl: server.baseUrl,
      vmId: server.vmId,
      reclaimable: true,
      priceUsdPerHour: 1,
      ...place,
    });
    const text = teamSettings(
      deployment,
      { ...tejidos, workspaces: [workspace] },
      [
        ...this.engines.map((engine) => endpoint(engine, tejidos.engineService)),
        endpoint(this.plain, tejidos.plainService),
      ],
      new Map([[workspace, await hashSecret(this.#callerKey.secret)]]),
    );
    const operator = [
      `[${deployment}/tejidos/keys/ops]`,
      'kind = operator',
      `scope = ${deployment}/tejidos`,
      `secret_hash = ${await hashSecret(this.#operatorKey.secret)}`,
      `signing_public_key = "${SigningKey.fromSecret(this.#operatorKey.secret).publicKey}"`,
    ].join('\n');
    // A short call timeout lets a killed call's claim expire within the test.
    const timed = text.replace('kind = plain', 'kind = plain\ncall_timeout_ms = 4000');
    const file = await this.file('team.ini', `${timed}\n${operator}\n`);
    const { code, err } = await this.#ctl('root.key', ['settings', 'apply', file, '--no-wait']);
    if (code !== 0) throw new Error(`the first settings were not applied: ${err}`);
  }

  #daemonIni(name: string, seeds: string): string {
    return [
      '[daemon]',
      `name = ${name}`,
      `deployment = ${deployment}`,
      'region = litoral',
      'failure_domain = litoral-rosario',
      'caller_listen = 127.0.0.1:0',
      'admin_listen = 127.0.0.1:0',
      'rpc_listen = 127.0.0.1:0',
      `seeds = ${seeds}`,
      'drain_notice_ms = 0',
      '[log]',
      `base_url = ${this.log.baseUrl}`,
      '[trust]',
      `root_public_key = "${SigningKey.fromSecret(this.#rootKey.secret).publicKey}"`,
      'rpc_secret = processes-test',
      '',
    ].join('\n');
  }
}

/** Conversation of one prompt; `tokens=N` in it sets the length of the stand-in's answer. */
export function messagesOf(prompt: string): { role: string; content: string }[] {
  return [{ role: 'user', content: prompt }];
}

async function readEvents(
  response: Response,
  onEvent: (event: string | undefined, data: string) => void,
): Promise<void> {
  const parser = createParser({
    onEvent: ({ event, data }) => {
      onEvent(event, data);
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of response.body ?? []) {
    parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
  }
}
