import { readFile, writeFile } from 'node:fs/promises';
import { Random, SystemClock } from '../core/index.js';
import { HttpLogService } from '../log/index.js';
import { parseBearerKey, type BearerKey } from '../security/index.js';
import { AdminClient, HttpAdminTransport } from './admin-client.js';
import { CommandContext } from './command-context.js';
import { required, type Connection } from './connection.js';
import { CtlError } from './ctl-error.js';
import { ExitCode } from './exit-code.js';
import { SettingsSession } from './settings-session.js';

/** {@link CommandContext} of a real process. */
export class SystemCommandContext extends CommandContext {
  override readonly clock = new SystemClock();
  override readonly env = process.env;

  override out(text: string): void {
    process.stdout.write(text);
  }

  override err(text: string): void {
    process.stderr.write(text);
  }

  override async readFile(path: string): Promise<Uint8Array> {
    try {
      if (path !== '-') return await readFile(path);
      const chunks: Buffer[] = [];
      for await (const chunk of process.stdin as AsyncIterable<Buffer>) chunks.push(chunk);
      return Buffer.concat(chunks);
    } catch (error) {
      throw fileError(path, error);
    }
  }

  override async writeFile(path: string, text: string, secret: boolean): Promise<void> {
    try {
      await writeFile(path, text, secret ? { mode: 0o600, flag: 'wx' } : {});
    } catch (error) {
      throw fileError(path, error);
    }
  }

  override async openAdmin(connection: Connection): Promise<AdminClient> {
    const baseUrl = required(connection.adminUrl, 'admin-url');
    const bearer = await this.#readKeyText(required(connection.keyFile, 'key-file'));
    const { caFile, timeoutMs } = connection;
    return new AdminClient(new HttpAdminTransport({ baseUrl, bearer, caFile, timeoutMs }));
  }

  override async openSettings(connection: Connection): Promise<SettingsSession> {
    const log = new HttpLogService({ baseUrl: required(connection.logUrl, 'log-url') });
    return SettingsSession.open({
      log,
      deployment: required(connection.deployment, 'deployment'),
      rootPublicKey: required(connection.rootPublicKey, 'root-public-key'),
      key: connection.keyFile === undefined ? undefined : await this.#readKey(connection.keyFile),
      clock: this.clock,
      random: new Random(Math.floor(Math.random() * 0x7fffffff)),
      deadlineAtMs: this.clock.nowMs() + connection.timeoutMs,
    });
  }

  async #readKeyText(file: string): Promise<string> {
    return Buffer.from(await this.readFile(file))
      .toString('utf8')
      .trim();
  }

  async #readKey(file: string): Promise<BearerKey> {
    const key = parseBearerKey(await this.#readKeyText(file));
    if (key) return key;
    throw new CtlError(
      ExitCode.Usage,
      `${file} does not hold a key; make one with \`oriolectl keys create\``,
      file,
    );
  }
}

function fileError(path: string, error: unknown): CtlError {
  const reason = error instanceof Error ? error.message : String(error);
  return new CtlError(ExitCode.Usage, `${path}: ${reason}`, path, error);
}
