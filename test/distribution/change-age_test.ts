import { describe, expect, it } from 'vitest';
import {
  configReadIntervalMs,
  configWaitMs,
  registrationsWaitMs,
} from '../../src/gateway/gateway-replicas.js';
import { exchangeIntervals } from '../../src/membership/exchange-intervals.js';
import {
  DaemonFault,
  DistributionDomain,
  type DistributionDaemon,
} from './distribution-harness.js';

/** A configuration is in force this long after the store has accepted it, where it is shortest. */
const configApplyMs = 2_500;

/** Daemons that share a distributor, and the time for which a leaving endpoint serves there. */
const deployments = [
  { daemons: 7, drainMs: 2_500 },
  { daemons: 33, drainMs: 4_000 },
];

/** The change comes at these times after the daemons have settled, to meet all phases of reads. */
const phases = 24;
const phaseStepMs = 83;

/** How exactly an age is measured. */
const stepMs = 20;

/** Time between two records of other endpoints. */
const heartbeatMs = 110;

type Fault = (distributor: DistributionDaemon, domain: DistributionDomain) => void;

const faults: readonly [string, Fault][] = [
  ['sound', () => undefined],
  ['killed', (distributor) => (distributor.fault = DaemonFault.Dead)],
  [
    'suspended, or cut off from its readers',
    (distributor) => (distributor.fault = DaemonFault.Silent),
  ],
  [
    'slow to read the store and to answer',
    (distributor) => {
      distributor.fault = DaemonFault.Slow;
      distributor.store.answerDelayMs = 600;
    },
  ],
  ['refused by the store', (distributor) => (distributor.store.isCutOff = true)],
  ['cut off from the store', (distributor) => (distributor.store.isSilent = true)],
  [
    'cut off from the store, and each reader loses its first read of the store',
    (distributor, domain) => {
      distributor.store.isSilent = true;
      for (const { store } of domain.daemons.values()) store.lostReads = 1;
    },
  ],
];

/** How a topic is read. */
interface TopicReads {
  readonly daemons: number;
  readonly waitMs: number;
  readonly minReadIntervalMs: number;
  /** Whether other records of the topic are written all the time. */
  readonly isBusy: boolean;
}

function registrationsOf(daemons: number, drainMs: number): TopicReads {
  const maxRegistrationReadIntervalMs = 0.45 * drainMs;
  const size = { daemons, domainDaemons: daemons, maxRegistrationReadIntervalMs };
  const { registrationReadIntervalMs } = exchangeIntervals(size);
  const waitMs = registrationsWaitMs(drainMs);
  return { daemons, waitMs, minReadIntervalMs: registrationReadIntervalMs, isBusy: true };
}

const config: TopicReads = {
  daemons: 7,
  waitMs: configWaitMs,
  minReadIntervalMs: configReadIntervalMs,
  isBusy: false,
};

/** Time until all daemons but the distributor know a change that comes with the fault. */
async function changeAgeMs(reads: TopicReads, fault: Fault, phaseMs: number): Promise<number> {
  const domain = new DistributionDomain();
  domain.waitMs = reads.waitMs;
  domain.minReadIntervalMs = reads.minReadIntervalMs;
  // Reads hardly wait then.
  if (reads.isBusy)
    domain.clock.every(heartbeatMs, () => domain.store.put('config', 'other', 'alive'));
  domain.start(reads.daemons);
  for (const { store } of domain.daemons.values()) store.doesWait = true;
  await domain.clock.advance(300);
  domain.join();
  await domain.clock.advance(3_000 + phaseMs);
  const distributor = domain.at(0);
  fault(distributor, domain);
  domain.store.put('config', 'k', undefined);
  const readers = [...domain.daemons.values()].filter((daemon) => daemon !== distributor);
  const startedAtMs = domain.clock.nowMs();
  while (readers.some(({ value }) => value !== undefined)) await domain.clock.advance(stepMs);
  return domain.clock.nowMs() - startedAtMs;
}

/** The longest age over all phases of the reads. */
async function longestAgeMs(reads: TopicReads, fault: Fault): Promise<number> {
  const agesMs: number[] = [];
  for (let phase = 0; phase < phases; phase++) {
    agesMs.push(await changeAgeMs(reads, fault, phase * phaseStepMs));
  }
  return Math.max(...agesMs);
}

describe('a change that every daemon has to know in time', () => {
  describe.each(faults)('while its distributor is %s', (_name, fault) => {
    it.each(deployments)(
      'the end of a registration is known before the endpoint is gone, so that no request reaches it later: $daemons daemons',
      async ({ daemons, drainMs }) => {
        const reads = registrationsOf(daemons, drainMs);
        expect(await longestAgeMs(reads, fault)).toBeLessThan(drainMs);
      },
    );

    it('a configuration is known in time, so that no request is handled by an older one', async () => {
      expect(await longestAgeMs(config, fault)).toBeLessThan(configApplyMs);
    });
  });
});
