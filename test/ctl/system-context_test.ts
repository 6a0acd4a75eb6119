import { mkdtemp, readFile, rm, stat, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { AdminServer } from '../../src/admin/index.js';
import { SystemClock } from '../../src/core/index.js';
import { runCli } from '../../src/ctl/cli.js';
import { ExitCode } from '../../src/ctl/exit-code.js';
import { SystemCommandContext } from '../../src/ctl/system-context.js';
import { PeerCaller } from '../../src/rpc/index.js';
import {
  createBearerKey,
  formatBearerKey,
  KeyVerifier,
  TlsContext,
} from '../../src/security/index.js';
import { Deployment, parseSettings } from '../../src/settings/index.js';
import { LogServer } from '../../src/standins/index.js';
import { NullEventLog, NullMetrics } from '../../src/telemetry/index.js';
import { FakeAdminBackend } from '../admin/fake-admin-backend.js';

class NoPeers extends PeerCaller {
  override call(): Promise<unknown> {
    return Promise.reject(new Error('there are no peers'));
  }
}

/** Real files and connections, with the output kept. */
class CapturingContext extends SystemCommandContext {
  override readonly env: Record<string, string> = {};
  text = '';

  override out(text: string): void {
    this.text += text;
  }

  override err(text: string): void {
    this.text += text;
  }
}

describe('oriolectl over HTTP', () => {
  const fixtures = join(import.meta.dirname, '..', 'security', 'fixtures');
  const context = new CapturingContext();
  const log = new LogServer();
  const closers: (() => unknown)[] = [];
  let directory = '';
  let deployment = new Deployment();

  async function run(...argv: string[]): Promise<{ code: ExitCode; text: string }> {
    context.text = '';
    const code = await runCli(argv, context);
    return { code, text: context.text };
  }

  const file = (name: string): string => join(directory, name);

  beforeAll(async () => {
    directory = await mkdtemp(join(tmpdir(), 'oriole-ctl-'));
    await log.listen();
    closers.push(() => log.close());
    const clock = new SystemClock();
    const metrics = new NullMetrics();
    const tls = await TlsContext.load({
      files: { certFile: join(fixtures, 'daemon-1.pem'), keyFile: join(fixtures, 'daemon-1.key') },
      clock,
      log: new NullEventLog(),
      metrics,
    });
    const server = new AdminServer({
      backend: new FakeAdminBackend('entry-1'),
      keys: new KeyVerifier({ deployment: () => deployment }),
      peers: new NoPeers(),
      clock,
      log: new NullEventLog(),
      metrics,
      tls,
    });
    const { port } = await server.listen('127.0.0.1', 0);
    closers.push(
      () => server.close(),
      () => tls.close(),
    );
    Object.assign(context.env, {
      ORIOLECTL_ADMIN_URL: `https://127.0.0.1:${port}/`,
      ORIOLECTL_CA_FILE: join(fixtures, 'first-ca.pem'),
      ORIOLECTL_LOG_URL: log.baseUrl,
      ORIOLECTL_DEPLOYMENT: 'prod',
    });
  });

  afterAll(async () => {
    for (const close of closers) await close();
    await rm(directory, { recursive: true });
  });

  it('takes a new deployment from the root key to a team operator that sees its own subtree', async () => {
    const root = await run('keys', 'create', 'root', '--kind', 'root', '--out', file('root.key'));
    const publicKey = /root_public_key = (\S+)/.exec(root.text)?.[1] ?? '';
    context.env.ORIOLECTL_ROOT_PUBLIC_KEY = publicKey;
    expect((await stat(file('root.key'))).mode & 0o777).toBe(0o600);
    const again = await run('keys', 'create', 'root', '--kind', 'root', '--out', file('root.key'));
    expect(again.code).toBe(ExitCode.Usage);

    const created = await run(
      ...['keys', 'create', 'prod/tejidos/ops', '--kind', 'operator', '--json'],
      ...['--scope', 'prod/tejidos', '--out', file('ops.key')],
    );
    const json = created.text.slice(0, created.text.lastIndexOf('}') + 1);
    const { path, values } = JSON.parse(json) as { path: string; values: Record<string, string> };
    const lines = Object.entries(values).map(([name, value]) => `${name} = "${value}"`);
    await writeFile(file('ops.ini'), `[${path}]\n${lines.join('\n')}\n`);
    const asRoot = ['--no-wait', '--key-file', file('root.key')];
    const applied = await run('settings', 'apply', file('ops.ini'), ...asRoot);
    expect(applied.text).toContain('accepted');

    const got = await run('settings', 'get', 'prod/tejidos');
    expect(got.code).toBe(ExitCode.Success);
    deployment = Deployment.from(parseSettings(got.text, 'get'));
    context.env.ORIOLECTL_KEY_FILE = file('ops.key');
    const endpoints = await run('endpoints', '--json');
    expect(endpoints.text).toContain('prod/tejidos/endpoints/w1');
    expect(endpoints.text).not.toContain('haneul');
    await run('report', 'burn', '--html', file('burn.html'));
    expect(await readFile(file('burn.html'), 'utf8')).toContain('tejidos/tenders');
  });

  it('tells an address that does not answer from a certificate that is not trusted', async () => {
    await writeFile(file('any.key'), formatBearerKey(createBearerKey('tejidos/none')));
    context.env.ORIOLECTL_KEY_FILE = file('any.key');
    const closed = await run('status', '--admin-url', 'http://127.0.0.1:1');
    expect(closed.code).toBe(ExitCode.Unreachable);
    const untrusted = await run('status', '--ca-file', join(fixtures, 'second-ca.pem'));
    expect(untrusted.code).toBe(ExitCode.Unreachable);
    expect(untrusted.text).toMatch(/certificate|issuer/);
    const noFile = await run('settings', 'check', file('none.ini'));
    expect(noFile.code).toBe(ExitCode.Usage);
    expect(noFile.text).toContain('none.ini');
  });
});
