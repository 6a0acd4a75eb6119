/**
 * How often the daemons tell each other of themselves. The more daemons there are, the less often
 * each does, so that all together load the store and the network no more than a small deployment;
 * a single daemon then matters less to the others, too.
 */
export interface ExchangePace {
  /** Time between two samples of a daemon in the store, in milliseconds. */
  readonly samplePeriodMs: number;
  /** Least time between two reads of the samples, in milliseconds. */
  readonly sampleReadGapMs: number;
  /** Least time between two reads of the registrations, in milliseconds. */
  readonly registrationReadGapMs: number;
  /** Time between two direct reports of grants, in milliseconds. */
  readonly newsPeriodMs: number;
}

/** Samples that all daemons together may store a second. */
const samplesPerS = 26;

/** Reads of the registrations that all daemons together may make a second. */
const registrationReadsPerS = 42;

/** Reports of grants that each daemon may send and receive a second. */
const newsPerS = 125;

/** A holder of duties must be seen to live within its lease, and usage be reported in time. */
const maxSamplePeriodMs = 2_800;
const minSamplePeriodMs = 1_000;
const minRegistrationGapMs = 400;
const minNewsPeriodMs = 250;

/** Reads just outpace the samples, so that each is seen once. */
const readGapRatio = 0.9;

/**
 * @param daemons - live daemons, this one included.
 * @param maxRegistrationGapMs - how late a change of a registration may be read at most.
 */
export function exchangePace(daemons: number, maxRegistrationGapMs: number): ExchangePace {
  const samplePeriodMs = within(
    minSamplePeriodMs,
    (daemons * 1_000) / samplesPerS,
    maxSamplePeriodMs,
  );
  return {
    samplePeriodMs,
    sampleReadGapMs: samplePeriodMs * readGapRatio,
    registrationReadGapMs: within(
      minRegistrationGapMs,
      (daemons * 1_000) / registrationReadsPerS,
      maxRegistrationGapMs,
    ),
    // Beyond the period of the samples, direct reports tell nothing new.
    newsPeriodMs: within(minNewsPeriodMs, (daemons * 1_000) / newsPerS, samplePeriodMs),
  };
}

function within(min: number, value: number, max: number): number {
  return Math.max(min, Math.min(max, value));
}
