import { describe, expect, it } from 'vitest';
import { runHistory } from '../../bench/histories/run-history.js';

/** Seeds of long runs that found a fault which is fixed, with the fault that each guards against. */
const fixedSeeds = [
  [10138, 'older settings after daemons restarted together'],
  [16854, 'settings later than 20 s after a silent read of the log'],
  [32028, 'a region that was cut off is never told of a leaving endpoint'],
  [34345, 'a drain is forgotten when all daemons are replaced within seconds'],
  [34237, 'a drain is forgotten with the daemons that were told'],
  [36325, 'a drain is forgotten with the daemons that were told'],
  [60398, 'a stop whose notice passed in a pause cuts off requests not read yet'],
  [40313, 'a set pulled from one peer lacks a signal, or its only knower stops'],
  [249, 'an endpoint is probed within its pause for the process before it at its address'],
  [
    226,
    'a pause asked for after a restart is forgotten when the registration of the restart comes',
  ],
] as const;

describe('histories that once failed', () => {
  it.each(fixedSeeds)('%i: %s', async (seed) => {
    expect((await runHistory(seed)).failure).toBeUndefined();
  });
});
