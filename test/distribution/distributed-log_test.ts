import { beforeEach, describe, expect, it } from 'vitest';
import { DaemonFault, DistributionDomain } from './distribution-harness.js';

/** Within this time a configuration must be in force at every daemon that reaches the store. */
const configDelayMs = 2_500;

describe('DistributedLog', () => {
  let domain: DistributionDomain;

  async function startJoined(count: number): Promise<void> {
    domain.start(count);
    await domain.clock.advance(300);
    domain.join();
    await domain.clock.advance(3_000);
  }

  beforeEach(() => {
    domain = new DistributionDomain();
  });

  describe('in a calm failure domain', () => {
    it('reads the store by one daemon, so that calls do not grow with the number of daemons', async () => {
      await startJoined(5);
      const few = await domain.storeReadsDuring(10_000);
      domain = new DistributionDomain();
      await startJoined(80);
      expect(await domain.storeReadsDuring(10_000)).toBeLessThanOrEqual(few * 1.1);
    });

    it('brings a change to every daemon', async () => {
      await startJoined(30);
      domain.store.put('config', 'k', 'v2');
      await domain.clock.advance(1_500);
      expect(domain.values).toEqual(new Set(['v2']));
    });

    it('brings the end of a key to every daemon, so that no endpoint that left stays in use', async () => {
      await startJoined(10);
      domain.store.put('config', 'k', undefined);
      await domain.clock.advance(1_500);
      expect(domain.values).toEqual(new Set([undefined]));
    });

    it('stores the samples of all daemons by one call a second', async () => {
      await startJoined(20);
      const publish = [...domain.daemons].map(([daemon, { log }]) =>
        log.publish('samples', { key: daemon, value: Buffer.from('sample') }),
      );
      await domain.clock.advance(2_000);
      await Promise.all(publish);
      expect(domain.store.appendCalls).toBe(1);
      expect((await domain.store.newest('samples')).records).toHaveLength(20);
    });
  });

  describe('when the distributor fails', () => {
    beforeEach(() => startJoined(20));

    it.each([DaemonFault.Dead, DaemonFault.Silent])(
      'brings a change to the others in time: distributor %s',
      async (fault) => {
        domain.at(0).fault = fault;
        domain.store.put('config', 'k', 'v2');
        await domain.clock.advance(configDelayMs);
        expect(domain.values).toEqual(new Set(['v2']));
      },
    );

    it('brings a change to the others in time when only the distributor is cut off from the store', async () => {
      const distributor = domain.at(0);
      distributor.store.isCutOff = true;
      domain.store.put('config', 'k', 'v2');
      await domain.clock.advance(configDelayMs);
      const others = [...domain.daemons.values()].filter((daemon) => daemon !== distributor);
      expect(new Set(others.map(({ value }) => value))).toEqual(new Set(['v2']));
    });

    it('moves to the next in rank, so that a dead distributor does not leave all at the store', async () => {
      const calmReads = await domain.storeReadsDuring(10_000);
      domain.at(0).fault = DaemonFault.Dead;
      await domain.clock.advance(10_000);
      // Here the dead one reads on, and its successor reads besides.
      expect(await domain.storeReadsDuring(10_000)).toBeLessThanOrEqual(2.1 * calmReads);
    });

    it('brings a change in time when the first three in rank are dead', async () => {
      for (const rank of [0, 1, 2]) domain.at(rank).fault = DaemonFault.Dead;
      domain.store.put('config', 'k', 'v2');
      await domain.clock.advance(configDelayMs);
      expect(domain.values).toEqual(new Set(['v2']));
    });

    it('stores a sample through the store itself', async () => {
      domain.at(0).fault = DaemonFault.Dead;
      const stored = domain.at(4).log.publish('samples', { key: 'd', value: Buffer.from('x') });
      await domain.clock.advance(2_000);
      await stored;
      expect((await domain.store.newest('samples')).records).toHaveLength(1);
    });
  });

  it('never lets a daemon return to an older record when its distributor lags behind it', async () => {
    await startJoined(3);
    const reader = domain.at(2);
    domain.at(0).store.isCutOff = true;
    domain.store.put('config', 'k', 'v2');
    await reader.replica.refresh();
    await domain.clock.advance(5_000);
    expect(reader.value).toBe('v2');
  });

  it('says how old a copy of a copy is, so that an age limit covers the whole way', async () => {
    await startJoined(3);
    for (let step = 0; step < 40; step++) {
      await domain.clock.advance(37);
      const { caughtUpAtMs = Infinity } = domain.at(2).replica;
      expect(caughtUpAtMs).toBeLessThanOrEqual(domain.at(0).replica.caughtUpAtMs ?? 0);
    }
  });
});
