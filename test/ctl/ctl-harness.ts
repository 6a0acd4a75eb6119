import { AdminClient, AdminTransport, type TransportAnswer } from '../../src/ctl/admin-client.js';
import { runCli } from '../../src/ctl/cli.js';
import { CommandContext } from '../../src/ctl/command-context.js';
import { required, type Connection } from '../../src/ctl/connection.js';
import type { ExitCode } from '../../src/ctl/exit-code.js';
import { SettingsSession } from '../../src/ctl/settings-session.js';
import { Random, VirtualClock, countingIds } from '../../src/core/index.js';
import { createBearerKey, parseBearerKey, SigningKey } from '../../src/security/index.js';
import { MemoryLogService } from '../../src/standins/index.js';

/** Answers of the administration API by the start of the path; counts the requests. */
export class FakeTransport extends AdminTransport {
  readonly requests: { method: string; path: string; body: unknown }[] = [];
  answer: (path: string, body: unknown) => TransportAnswer = () => ({ status: 404, body: {} });

  override async send(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<TransportAnswer> {
    this.requests.push({ method, path, body });
    return this.answer(path, body);
  }
}

/** Result of one command line. */
export interface CliResult {
  readonly code: ExitCode;
  readonly out: string;
  readonly err: string;
}

/** Runs command lines against an in-memory log, a fake administration API and virtual time. */
export class CtlHarness extends CommandContext {
  override readonly clock = new VirtualClock(1_800_000_000_000);
  override readonly env: Record<string, string> = {
    ORIOLECTL_ADMIN_URL: 'http://entry-1',
    ORIOLECTL_LOG_URL: 'http://log',
    ORIOLECTL_DEPLOYMENT: 'prod',
    ORIOLECTL_KEY_FILE: 'root.key',
  };
  readonly rootKey = createBearerKey('root');
  readonly log = new MemoryLogService({ clock: this.clock });
  readonly transport = new FakeTransport();
  readonly files = new Map<string, string>();
  readonly secretFiles = new Set<string>();
  readonly #newId = countingIds('id');
  #out = '';
  #err = '';

  override out(text: string): void {
    this.#out += text;
  }

  override err(text: string): void {
    this.#err += text;
  }

  override async readFile(path: string): Promise<Uint8Array> {
    const text = this.files.get(path);
    if (text === undefined) throw new Error(`${path} does not exist`);
    return Buffer.from(text);
  }

  override async writeFile(path: string, text: string, secret: boolean): Promise<void> {
    this.files.set(path, text);
    if (secret) this.secretFiles.add(path);
  }

  override async openAdmin(connection: Connection): Promise<AdminClient> {
    required(connection.adminUrl, 'admin-url');
    return new AdminClient(this.transport);
  }

  override async openSettings(connection: Connection): Promise<SettingsSession> {
    const keyText = this.files.get(connection.keyFile ?? '');
    return SettingsSession.open({
      log: this.log,
      deployment: 'prod',
      rootPublicKey: SigningKey.fromSecret(this.rootKey.secret).publicKey,
      key: keyText === undefined ? this.rootKey : parseBearerKey(keyText.trim()),
      clock: this.clock,
      random: new Random(1),
      newId: this.#newId,
      deadlineAtMs: this.clock.nowMs() + connection.timeoutMs,
    });
  }

  /** Runs a command line, advancing time while it waits. */
  async run(...argv: string[]): Promise<CliResult> {
    this.#out = '';
    this.#err = '';
    let code: ExitCode | undefined;
    void runCli(argv, this).then((result) => (code = result));
    for (let round = 0; code === undefined && round < 5_000; round++) {
      await this.clock.advance(50);
      // scrypt takes real time, in which virtual time must not run out.
      if (round > 1_000) await new Promise((resolve) => setTimeout(resolve, 1));
    }
    if (code === undefined) throw new Error(`"${argv.join(' ')}" did not end`);
    return { code, out: this.#out, err: this.#err };
  }
}
