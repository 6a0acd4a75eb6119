import { beforeEach, describe, expect, it } from 'vitest';
import { Random, VirtualClock } from '../../src/core/index.js';
import { PeerExchange } from '../../src/gateway/peer-exchange.js';
import { KeyedReplica } from '../../src/log/keyed-replica.js';
import { DaemonSamples } from '../../src/membership/daemon-samples.js';
import { KeyedLogFault, MemoryKeyedLog } from '../../src/standins/memory-keyed-log.js';
import { NullEventLog } from '../../src/telemetry/index.js';

const topic = 'daemons';

/** Starts a daemon with its own replica of the store that all daemons share. */
function startDaemon(daemon: string, log: MemoryKeyedLog, clock: VirtualClock) {
  const events = new NullEventLog();
  const random = new Random(1);
  const minReadIntervalMs = (): number => 500;
  const replica = new KeyedReplica({
    log,
    topic,
    clock,
    random,
    events,
    waitMs: 0,
    minReadIntervalMs,
    minOutageMs: 1_200,
  });
  replica.start();
  const counts = { granted: {}, asked: {} };
  const place = { region: 'here', failureDomain: 'here-a', capacityCores: 1 };
  const content = {
    inFlight: {},
    prefillTokensPerS: {},
    newsAddress: '',
    usage: [],
    crashes: [],
    ...place,
    ...counts,
  };
  const samples = new DaemonSamples({
    log,
    topic,
    replica,
    daemon,
    incarnation: 1,
    clock,
    events,
    content: () => content,
    periodMs: () => 1_000,
  });
  samples.start();
  const exchange = new PeerExchange({
    samples,
    daemon,
    incarnation: 1,
    address: { host: '127.0.0.1', port: 0 },
    ...place,
    clock,
    events,
    maxRegistrationReadIntervalMs: 1_000,
    counts: () => counts,
    onPrefill: () => undefined,
    onSuspicion: () => undefined,
    onLeaving: () => undefined,
    onQuarantine: () => undefined,
    distributor: () => undefined,
  });
  return { samples, exchange };
}

describe('PeerExchange', () => {
  let clock: VirtualClock;
  let log: MemoryKeyedLog;
  let own: ReturnType<typeof startDaemon>;

  beforeEach(async () => {
    clock = new VirtualClock();
    log = new MemoryKeyedLog();
    own = startDaemon('d1', log, clock);
    startDaemon('d2', log, clock);
    await clock.advance(3_000);
  });

  /** Takes the store down, with or without direct reports from the other daemon. */
  async function loseStore(hasDirectReports: boolean): Promise<void> {
    log.fault = KeyedLogFault.Down;
    for (let step = 0; step < 50; step++) {
      await clock.advance(200);
      const report = { daemon: 'd2', incarnation: 1, granted: {}, asked: {} };
      if (hasDirectReports) own.samples.applyDirectReport(report);
    }
  }

  // Of a daemon whose sample had one such count, neither the heartbeat nor anything else was known.
  it.each([null, 1e300, -1])('keeps the sample of a daemon with a count of %j', async (count) => {
    const sample = {
      daemon: 'd3',
      incarnation: 1,
      sequence: 1,
      sampledAtMs: clock.nowMs(),
      granted: { theirs: count, ours: 40 },
      asked: { theirs: count },
      inFlight: { planner: count },
      prefillTokensPerS: { planner: count },
      newsAddress: '',
      capacityCores: count,
      usage: [[7, { theirs: count, ours: 3 }], [count, { ours: 1 }], 5],
      crashes: [],
      isLeaving: false,
      dutyFence: 4,
    };
    await log.appendAll(topic, [{ key: 'd3', value: Buffer.from(JSON.stringify(sample)) }]);
    await clock.advance(1_000);
    const received = own.samples.livePeers().find(({ daemon }) => daemon === 'd3');
    expect(received).toMatchObject({ granted: { ours: 40 }, asked: {}, dutyFence: 4 });
    expect(received?.usage).toEqual([[7, { ours: 3 }]]);
  });

  it('reaches the other daemons through the store', () => {
    expect(own.exchange.peerStatus()).toMatchObject({
      daemons: 2,
      unreachableDaemons: 0,
      isConnected: true,
    });
  });

  it('stays connected by direct reports without the store, so that the quota is not cut to an even part', async () => {
    await loseStore(true);
    expect(own.exchange.peerStatus()).toMatchObject({
      daemons: 2,
      unreachableDaemons: 0,
      isConnected: true,
    });
    expect(own.exchange.peerStatus().propagationDelayMs).toBeLessThan(1_000);
  });

  it('is disconnected without both, so that two daemons do not each grant the whole quota', async () => {
    await loseStore(false);
    expect(own.exchange.peerStatus().isConnected).toBe(false);
  });

  it.each([
    [true, 0],
    [false, 1],
  ])(
    'counts a daemon that only the store has lost as live: direct reports %s',
    async (hasDirectReports, unreachable) => {
      const counts = { granted: {}, asked: {} };
      const sample = { daemon: 'd3', incarnation: 1, sequence: 0, sampledAtMs: 0, ...counts };
      const rest = { inFlight: {}, prefillTokensPerS: {}, newsAddress: '', usage: [] };
      const record = { ...sample, ...rest, isLeaving: false };
      log.put(topic, 'd3', Buffer.from(JSON.stringify(record)));
      for (let step = 0; step < 50; step++) {
        await clock.advance(200);
        for (const daemon of hasDirectReports ? ['d2', 'd3'] : ['d2']) {
          own.samples.applyDirectReport({ daemon, incarnation: 1, ...counts });
        }
      }
      expect(own.exchange.peerStatus()).toMatchObject({
        daemons: 3 - unreachable,
        unreachableDaemons: unreachable,
      });
    },
  );

  it('assumes the delay of the store without direct reports', () => {
    const { samplePeriodMs, sampleReadIntervalMs } = own.exchange.intervals;
    // A sample waits for a batch of a second, is read by the distributor, and then from it.
    const leastMs = samplePeriodMs + 1_000 + 2 * sampleReadIntervalMs;
    expect(own.exchange.peerStatus().propagationDelayMs).toBeGreaterThan(leastMs);
  });
});
