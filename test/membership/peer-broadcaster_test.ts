import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { SystemClock } from '../../src/core/index.js';
import { decodeBatch, type PrefillReport } from '../../src/membership/broadcast-message.js';
import type { GrantReport } from '../../src/membership/daemon-samples.js';
import { PeerBroadcaster } from '../../src/membership/peer-broadcaster.js';
import { NullEventLog } from '../../src/telemetry/index.js';

const host = '127.0.0.1';

async function freePort(): Promise<number> {
  const socket = createSocket('udp4').bind(0, host);
  await once(socket, 'listening');
  const { port } = socket.address();
  socket.close();
  return port;
}

describe('PeerBroadcaster', () => {
  const open: PeerBroadcaster[] = [];
  afterEach(() => {
    for (const broadcaster of open.splice(0)) broadcaster.close();
  });

  async function start(peers: () => string[], listenPort?: number) {
    const port = listenPort ?? (await freePort());
    const received: (PrefillReport | GrantReport)[] = [];
    const leavings: (readonly [string, string, number])[] = [];
    const waiters: (() => void)[] = [];
    const onReport = (item: PrefillReport | GrantReport): void => {
      received.push(item);
      for (const wake of waiters.splice(0)) wake();
    };
    const events = new NullEventLog();
    const broadcaster = new PeerBroadcaster({
      daemon: `daemon-${port}`,
      clock: new SystemClock(),
      listenAddress: { host, port },
      routes: () => ({ peers: peers(), distributor: undefined, members: [], otherGroups: [] }),
      onPrefill: onReport,
      onGrants: onReport,
      onSuspicion: () => undefined,
      onLeaving: (endpointId, daemon, ageMs) => {
        leavings.push([endpointId, daemon, ageMs]);
        for (const wake of waiters.splice(0)) wake();
      },
      onQuarantine: () => undefined,
      events,
    });
    broadcaster.listen();
    open.push(broadcaster);
    const next = (): Promise<void> => new Promise((resolve) => waiters.push(resolve));
    return { port, broadcaster, received, leavings, next };
  }

  it('sends prompts and grants to each peer', async () => {
    const receiver = await start(() => []);
    const sender = await start(() => [`${host}:${receiver.port}`]);
    const prompt = { endpointId: 'e-1', tokens: 12_000 };
    const report = {
      daemon: 'a',
      incarnation: 7,
      granted: { tejidos: 900 },
      asked: { tejidos: 950 },
    };
    let delivery = receiver.next();
    sender.broadcaster.broadcastPrefill(prompt);
    await delivery;
    delivery = receiver.next();
    sender.broadcaster.broadcastGrants(report);
    await delivery;
    expect(receiver.received).toEqual([prompt, report]);
  });

  it('waits for a port that is still in use, so that a daemon that starts beside it is not deaf for good', async () => {
    const before = createSocket('udp4').bind(0, host);
    await once(before, 'listening');
    const receiver = await start(() => [], before.address().port);
    // What it sends meanwhile must not take another port.
    receiver.broadcaster.broadcastPrefill({ endpointId: 'e-0', tokens: 1 });
    await sleep(300);
    before.close();
    await sleep(300);
    const sender = await start(() => [`${host}:${receiver.port}`]);
    const delivery = receiver.next();
    sender.broadcaster.broadcastPrefill({ endpointId: 'e-1', tokens: 1 });
    await delivery;
    expect(receiver.received).toEqual([{ endpointId: 'e-1', tokens: 1 }]);
  });

  it('sends which endpoint leaves, from whom and how old that is', async () => {
    const receiver = await start(() => []);
    const sender = await start(() => [`${host}:${receiver.port}`]);
    const delivery = receiver.next();
    sender.broadcaster.broadcastLeaving('e-1#7', 12);
    await delivery;
    expect(receiver.leavings).toEqual([['e-1#7', `daemon-${sender.port}`, 12]]);
  });

  it('takes the known messages of a batch of a later build, as both run during a rolling restart', () => {
    const known = ['prefill', 'e-1', 5, 'a'];
    const batch = { scope: 'receiver', sender: 'a', senderAddress: 'b' };
    const messages = [['from the future', 1], known];
    const bytes = Buffer.from(JSON.stringify({ ...batch, messages }));
    expect(decodeBatch(bytes)?.messages).toEqual([known]);
  });

  it('ignores invalid datagrams, so that a stray packet does not crash the daemon', async () => {
    const receiver = await start(() => []);
    const sender = await start(() => [`${host}:${receiver.port}`]);
    const stray = createSocket('udp4');
    const batch = '{"scope":"receiver","sender":"a","senderAddress":"b","messages":';
    const messages = [
      '["grants","a",1,{"t":-5},{}]',
      '["prefill",7,7,"a"]',
      '["leaving","e",-1,"a"]',
      'null',
      '[]',
    ];
    const batches = messages.map((message) => `${batch}[${message}]}`);
    for (const text of ['', '{', '[]', ...messages, ...batches, `${batch}7}`]) {
      await new Promise((resolve) => {
        stray.send(text, receiver.port, host, resolve);
      });
    }
    stray.close();
    const delivery = receiver.next();
    sender.broadcaster.broadcastPrefill({ endpointId: 'e-1', tokens: 1 });
    await delivery;
    expect(receiver.received).toEqual([{ endpointId: 'e-1', tokens: 1 }]);
  });
});
