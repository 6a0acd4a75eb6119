import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent, request } from 'undici';
import { SystemClock } from '../../src/core/index.js';
import { Daemon, parseDaemonSettings } from '../../src/daemon/index.js';
import { RoarrEventLog, StatsdMetrics, writeEventsToStderr } from '../../src/telemetry/index.js';

/** What the parent asks of a relay process. */
export type RelayQuestion = 'usage';

/** Processor time and memory of a relay process. */
export interface RelayUsage {
  readonly cpuUs: number;
  readonly rssBytes: number;
  readonly heapBytes: number;
}

/** Mode and set-up of a relay process. */
export interface RelayTask {
  readonly kind: 'bare' | 'daemon';
  readonly engineUrl: string;
  readonly daemonIni: string;
}

/** Passes each request through without looking at it: the least that any relay does. */
async function startBare(engineUrl: string): Promise<string> {
  const agent = new Agent({ connections: null, pipelining: 1, bodyTimeout: 0, headersTimeout: 0 });
  const relay = async (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> => {
    const answer = await request(`${engineUrl}${incoming.url ?? '/'}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: incoming,
      dispatcher: agent,
    });
    outgoing.writeHead(answer.statusCode, { 'content-type': 'text/event-stream' });
    answer.body.pipe(outgoing);
  };
  const server = createServer((incoming, outgoing) => {
    relay(incoming, outgoing).catch(() => outgoing.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** A whole daemon with logs and metrics on. */
async function startDaemon(ini: string): Promise<string> {
  writeEventsToStderr();
  const daemon = new Daemon({
    settings: parseDaemonSettings(ini, 'bench.ini'),
    clock: new SystemClock(),
    events: new RoarrEventLog({ daemon: 'bench' }),
    metrics: new StatsdMetrics({ host: '127.0.0.1', port: 9, daemon: 'bench' }),
    seed: 1,
  });
  await daemon.start();
  return daemon.urls.caller;
}

function usage(): RelayUsage {
  globalThis.gc?.();
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed } = process.memoryUsage();
  return { cpuUs: user + system, rssBytes: rss, heapBytes: heapUsed };
}

process.on('message', (message: RelayTask | RelayQuestion) => {
  if (message === 'usage') {
    process.send?.(usage());
    return;
  }
  const { kind, engineUrl, daemonIni } = message;
  void (kind === 'bare' ? startBare(engineUrl) : startDaemon(daemonIni)).then((url) => {
    process.send?.({ url });
  });
});
