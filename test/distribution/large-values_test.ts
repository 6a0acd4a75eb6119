import { randomBytes } from 'node:crypto';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Random, SystemClock } from '../../src/core/index.js';
import { DistributedLog, HttpReplicaClient, ReplicaServer } from '../../src/distribution/index.js';
import { KeyedReplica } from '../../src/log/keyed-replica.js';
import { KeyedLogFault, MemoryKeyedLog } from '../../src/standins/memory-keyed-log.js';
import { NullEventLog } from '../../src/telemetry/index.js';
import { ThrottledLink } from './throttled-link.js';

/** A configuration is in force this long after the store has accepted it, where it is shortest. */
const configApplyMs = 2_500;

const readers = 12;
const linkBytesPerS = 1_000_000;

/** All readers together take three seconds for it; a read alone timed out after 1.7 s. */
const largeValue = randomBytes((3 * linkBytesPerS) / readers);

const clock = new SystemClock();
const events = new NullEventLog();

function replicaOf(log: ConstructorParameters<typeof KeyedReplica>[0]['log'], seed: number) {
  return new KeyedReplica({
    log,
    topic: 'config',
    clock,
    random: new Random(seed),
    events,
    waitMs: 1_000,
    minReadIntervalMs: () => 50,
    minOutageMs: 1_200,
  });
}

describe('a large value that many daemons read over one narrow link at once', () => {
  let store: MemoryKeyedLog;
  let copy: KeyedReplica;
  let server: ReplicaServer;
  let link: ThrottledLink;
  let clients: HttpReplicaClient[];
  let replicas: KeyedReplica[];

  const hasAtAll = (value: Uint8Array | string): boolean =>
    replicas.every((replica) => Buffer.from(value).equals(replica.get('k')?.value ?? Buffer.of()));

  async function waitFor(condition: () => boolean, timeoutMs: number): Promise<void> {
    const deadlineAtMs = clock.nowMs() + timeoutMs;
    while (!condition() && clock.nowMs() < deadlineAtMs) {
      await clock.sleepUntil(clock.nowMs() + 20);
    }
  }

  /** A daemon that can read its distributor only: the store lets nobody else read on. */
  async function startReader(address: string, number: number): Promise<void> {
    const client = new HttpReplicaClient();
    const ownStore = new MemoryKeyedLog();
    ownStore.put('config', 'k', 'first');
    const distributor = {
      daemon: 'd',
      region: 'here',
      failureDomain: 'here-a',
      capacityCores: 1,
      address,
    };
    const log = new DistributedLog({
      store: ownStore,
      client,
      daemon: `r${number}`,
      ranking: () => [distributor, { ...distributor, daemon: `r${number}`, address: '' }],
      batchers: new Map(),
      clock,
      random: new Random(number),
      events,
    });
    const replica = replicaOf(log, number);
    await replica.refresh();
    ownStore.fault = KeyedLogFault.Silent;
    replica.start();
    clients.push(client);
    replicas.push(replica);
  }

  beforeEach(async () => {
    store = new MemoryKeyedLog();
    store.put('config', 'k', 'first');
    copy = replicaOf(store, 1);
    copy.start();
    server = new ReplicaServer({ replicas: [copy], batchers: new Map(), clock, events });
    link = new ThrottledLink(await server.listen('127.0.0.1', 0), linkBytesPerS);
    clients = [];
    replicas = [];
    const address = await link.listen();
    for (let number = 0; number < readers; number++) await startReader(address, number);
    await clock.sleepUntil(clock.nowMs() + 200);
  });

  afterEach(async () => {
    for (const replica of [copy, ...replicas]) replica.stop();
    for (const client of clients) client.close();
    link.close();
    await server.close();
  });

  it('reaches all, so that their reads do not time out together and begin anew for ever', async () => {
    store.put('config', 'k', largeValue);
    await waitFor(() => hasAtAll(largeValue), 12_000);
    expect(hasAtAll(largeValue)).toBe(true);
  });

  it('does not hold up the small one that replaces it, so that a change is not late', async () => {
    store.put('config', 'k', Buffer.concat([largeValue, largeValue]));
    await clock.sleepUntil(clock.nowMs() + 500);
    store.put('config', 'k', 'small');
    await waitFor(() => hasAtAll('small'), configApplyMs);
    expect(hasAtAll('small')).toBe(true);
    expect(replicas.some(({ isFailing }) => isFailing)).toBe(false);
  });

  it('reaches all also while others as large replace it, so that they do not begin anew with each', async () => {
    for (let change = 0; change < 6; change++) {
      store.put('config', 'k', randomBytes(largeValue.length));
      await clock.sleepUntil(clock.nowMs() + 1_000);
    }
    expect(replicas.every((replica) => (replica.get('k')?.offset ?? 0) > 0)).toBe(true);
  });
});
