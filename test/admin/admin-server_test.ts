import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { AdminServer, registerAdminQueries, type AdminBackend } from '../../src/admin/index.js';
import { AdminQuery } from '../../src/admin-api/index.js';
import { OrioleError, Step, SystemClock } from '../../src/core/index.js';
import { listen } from '../../src/core/listener.js';
import { PeerCaller, PeerMethodRegistry, type PeerMethodHandler } from '../../src/rpc/index.js';
import { createBearerKey, formatBearerKey, KeyVerifier } from '../../src/security/index.js';
import { Deployment, type SectionValues } from '../../src/settings/index.js';
import { EventId, EventLog, NullMetrics, type Severity } from '../../src/telemetry/index.js';
import { FakeAdminBackend } from './fake-admin-backend.js';

const clock = new SystemClock();

/** Peers by URL. A call to an absent peer is refused; a call to `silent` never settles. */
class FakePeerCaller extends PeerCaller {
  readonly methods = new Map<string, Map<string, PeerMethodHandler>>();

  override async call(peerUrl: string, method: string, params: unknown): Promise<unknown> {
    if (peerUrl === 'silent') return new Promise(() => undefined);
    const handler = this.methods.get(peerUrl)?.get(method);
    if (!handler) throw new OrioleError('connection refused', { step: Step.Rpc, peer: peerUrl });
    // Parameters and answers are sent as JSON.
    return JSON.parse(JSON.stringify(await handler(JSON.parse(JSON.stringify(params)))));
  }

  add(url: string, backend: AdminBackend): void {
    const handlers = new Map<string, PeerMethodHandler>();
    class CapturingRegistry extends PeerMethodRegistry {
      override register(method: string, handler: PeerMethodHandler): void {
        handlers.set(method, handler);
      }
    }
    registerAdminQueries(new CapturingRegistry(), backend);
    this.methods.set(url, handlers);
  }
}

class RecordingEventLog extends EventLog {
  readonly lines: { event: EventId; fields: unknown }[] = [];

  override write(_level: Severity, event: EventId, _message: string, fields?: unknown): void {
    this.lines.push({ event, fields });
  }
}

describe('AdminServer', () => {
  const tejidosKey = createBearerKey('tejidos/ops');
  const callerKey = createBearerKey('tejidos/counter');
  const hash = (digit: string): string => `scrypt$${'0'.repeat(32)}$${digit.repeat(64)}`;
  const deployment = Deployment.from(
    new Map<string, SectionValues>([
      [
        'prod/tejidos/keys/ops',
        { kind: 'operator', secret_hash: hash('1'), scope: 'prod/tejidos' },
      ],
      [
        'prod/tejidos/keys/counter',
        { kind: 'caller', secret_hash: hash('2'), workspace: 'tenders' },
      ],
    ]),
  );
  let backend: FakeAdminBackend;
  let peers: FakePeerCaller;
  let log: RecordingEventLog;
  let server: AdminServer;
  let port = 0;

  beforeEach(async () => {
    backend = new FakeAdminBackend('entry-1');
    peers = new FakePeerCaller();
    log = new RecordingEventLog();
    server = createAdminServer();
    ({ port } = await server.listen('127.0.0.1', 0));
  });

  afterEach(() => server.close());

  function createAdminServer(): AdminServer {
    const keys = new KeyVerifier({
      deployment: () => deployment,
      verify: async (secret, stored) =>
        (secret === tejidosKey.secret && stored === hash('1')) ||
        (secret === callerKey.secret && stored === hash('2')),
    });
    return new AdminServer({
      backend,
      keys,
      peers,
      clock,
      log,
      metrics: new NullMetrics(),
      peerTimeoutMs: 100,
    });
  }

  async function send(
    path: string,
    body?: unknown,
    authorization = `Bearer ${formatBearerKey(tejidosKey)}`,
  ): Promise<{ status: number; body: unknown }> {
    const response = await request(`http://127.0.0.1:${port}/admin/v1/${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: { authorization },
      ...(body !== undefined && { body: typeof body === 'string' ? body : JSON.stringify(body) }),
    });
    return { status: response.statusCode, body: await response.body.json() };
  }

  it('waits for a port that is still in use, which ended a daemon at its start', async () => {
    const before = createServer();
    const busyPort = await listen(before, '127.0.0.1', 0);
    await server.close();
    server = createAdminServer();
    const listening = server.listen('127.0.0.1', busyPort);
    await sleep(300);
    before.close();
    expect(await listening).toEqual({ port: busyPort });
  });

  describe('authentication', () => {
    it('refuses a malformed or wrong key and the key of a caller', async () => {
      expect((await send('status', undefined, 'Bearer x')).status).toBe(401);
      const wrong = formatBearerKey({ ...tejidosKey, secret: callerKey.secret });
      expect((await send('status', undefined, `Bearer ${wrong}`)).status).toBe(401);
      const caller = `Bearer ${formatBearerKey(callerKey)}`;
      expect((await send('status', undefined, caller)).status).toBe(403);
    });
  });

  describe('scope', () => {
    it('omits data of other teams, also from the answers of other daemons', async () => {
      backend.peerList = [{ daemon: 'entry-2', rpcUrl: 'two' }];
      peers.add('two', new FakeAdminBackend('entry-2'));
      for (const path of ['settings', 'endpoints', 'jobs', 'burn', 'explain/r-1']) {
        const { status, body } = await send(path);
        expect(status).toBe(200);
        expect(JSON.stringify(body)).not.toMatch(/haneul|tejidos-b/);
        expect((body as { answers: unknown[] }).answers).toHaveLength(2);
      }
      expect(JSON.stringify((await send('jobs')).body)).toContain('tejidos/tenders');
      expect(JSON.stringify((await send('burn')).body)).toContain('tejidos/tenders');
    });

    it('drains only endpoints within the scope of the key', async () => {
      const deadlineAtMs = 1;
      expect((await send('drain', { path: 'prod/haneul/endpoints/p1', deadlineAtMs })).status).toBe(
        403,
      );
      expect((await send('drain', { path: 'prod/tejidos', deadlineAtMs })).status).toBe(400);
      expect(backend.drained).toEqual([]);
      const { body } = await send('drain', { path: 'prod/tejidos/endpoints/w1', deadlineAtMs });
      expect(body).toMatchObject({ answers: [{ answer: { inFlightRequests: 2 } }] });
      expect(backend.drained).toEqual(['prod/tejidos/endpoints/w1']);
    });

    it('answers 404 for work of another team or kind and changes nothing', async () => {
      expect((await send('jobs/job-2/cancel', {})).status).toBe(404);
      expect((await send('jobs/call-1/cancel', {})).status).toBe(404);
      expect((await send('jobs/job-1/resolve', { ran: true, note: 'x' })).status).toBe(404);
      expect(backend.changes).toEqual([]);
    });
  });

  describe('work', () => {
    it('records the operator of a resolution or cancellation and logs the action', async () => {
      await send('jobs/call-1/resolve', { ran: false, note: 'no truck was sent' });
      await send('jobs/job-1/cancel', {});
      expect(backend.changes).toEqual([
        { id: 'call-1', ran: false, note: 'no truck was sent', operator: 'tejidos/ops' },
        { id: 'job-1', note: '', operator: 'tejidos/ops' },
      ]);
      expect(log.lines.map(({ event }) => event)).toEqual([
        EventId.AdminAction,
        EventId.AdminAction,
      ]);
    });

    it('answers 503, not 404, while a daemon that may hold the work does not answer', async () => {
      backend.peerList = [{ daemon: 'entry-2', rpcUrl: 'gone' }];
      const { status, body } = await send('jobs/job-9/cancel', {});
      expect(status).toBe(503);
      expect(JSON.stringify(body)).toContain('entry-2');
    });

    it('refuses a resolution without a note', async () => {
      expect((await send('jobs/call-1/resolve', { ran: true })).status).toBe(400);
    });
  });

  describe('missing daemons', () => {
    it('lists daemons that refuse the connection, time out or send an invalid answer', async () => {
      backend.peerList = [
        { daemon: 'entry-2', rpcUrl: 'two' },
        { daemon: 'entry-3', rpcUrl: 'gone' },
        { daemon: 'entry-4', rpcUrl: 'silent' },
        { daemon: 'entry-5', rpcUrl: 'odd' },
      ];
      peers.add('two', new FakeAdminBackend('entry-2'));
      peers.methods.set('odd', new Map([[AdminQuery.Endpoints, async () => ({ no: 'list' })]]));
      expect((await send('endpoints')).body).toMatchObject({
        answers: [{ daemon: 'entry-1' }, { daemon: 'entry-2' }],
        missing: [
          { daemon: 'entry-3', reason: 'connection refused' },
          { daemon: 'entry-4', reason: 'no answer within 100 ms' },
          { daemon: 'entry-5', reason: 'sent an answer that does not match its format' },
        ],
      });
    });

    it('lists lost daemons for settings and counts, but not for work', async () => {
      backend.lostDaemons = [{ daemon: 'entry-9', reason: 'lost', lostAtMs: 1 }];
      for (const path of ['settings', 'burn']) {
        expect((await send(path)).body).toMatchObject({ missing: [{ daemon: 'entry-9' }] });
      }
      for (const path of ['jobs', 'endpoints', 'settings?daemons=self']) {
        expect((await send(path)).body).toMatchObject({ missing: [] });
      }
    });

    it('lists this daemon when its handler fails; queries no peer with daemons=self', async () => {
      backend.peerList = [{ daemon: 'entry-3', rpcUrl: 'gone' }];
      const { body } = await send('status?daemons=self');
      expect(body).toMatchObject({ answers: [], missing: [{ daemon: 'entry-1' }] });
    });
  });

  describe('malformed requests', () => {
    it('answers 400, 404 or 413 and continues to serve', async () => {
      expect((await send('nothing')).status).toBe(404);
      expect((await send('jobs?limit=x')).status).toBe(400);
      expect((await send('jobs/%E0%A4%A/cancel', {})).status).toBe(400);
      expect((await send('drain', '{')).status).toBe(400);
      expect((await send('drain', JSON.stringify('x'.repeat(100_000)))).status).toBe(413);
      expect((await send('endpoints')).status).toBe(200);
    });
  });
});
