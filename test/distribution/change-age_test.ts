import { describe, expect, it } from 'vitest';
import { registrationsWaitMs } from '../../src/gateway/gateway-replicas.js';
import { exchangeIntervals } from '../../src/membership/exchange-intervals.js';
import {
  DaemonFault,
  DistributionDomain,
  type DistributionDaemon,
} from './distribution-harness.js';

/** A leaving endpoint serves for this long after its registration says so, where it is shortest. */
const drainMs = 2_500;

const daemons = 7;
const phaseStepMs = 83;
const phases = 24;
const stepMs = 20;
const heartbeatMs = 110;

type Fault = (distributor: DistributionDaemon, domain: DistributionDomain) => void;

const faults: readonly [string, Fault][] = [
  ['none', () => undefined],
  ['killed', (distributor) => (distributor.fault = DaemonFault.Dead)],
  [
    'suspended, or cut off from its readers',
    (distributor) => (distributor.fault = DaemonFault.Silent),
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

function createDomain(): DistributionDomain {
  const domain = new DistributionDomain();
  domain.waitMs = registrationsWaitMs;
  domain.minReadIntervalMs = exchangeIntervals({
    daemons,
    domainDaemons: daemons,
    maxRegistrationReadIntervalMs: 0.45 * drainMs,
  }).registrationReadIntervalMs;
  return domain;
}

/** Time until all daemons but the distributor know a change that comes with the fault. */
async function changeAgeMs(fault: Fault, phaseMs: number): Promise<number> {
  const domain = createDomain();
  // Other endpoints renew their registrations all the time, so that reads hardly wait.
  domain.clock.every(heartbeatMs, () => domain.store.put('config', 'other', 'alive'));
  domain.start(daemons);
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

describe('the end of a registration', () => {
  it.each(faults)(
    'is known to every reader before the endpoint is gone, so that no request reaches it later; the distributor: %s',
    async (_name, fault) => {
      const agesMs: number[] = [];
      for (let phase = 0; phase < phases; phase++) {
        agesMs.push(await changeAgeMs(fault, phase * phaseStepMs));
      }
      expect(Math.max(...agesMs)).toBeLessThan(drainMs);
    },
  );
});
