/**
 * How often the daemons tell each other of themselves. The more daemons there are, the less often
 * each does, so that all together load the store and the network no more than a small deployment;
 * a single daemon then matters less to the others, too.
 */
export interface ExchangeIntervals {
  /** Time between two samples of a daemon in the store, in milliseconds. */
  readonly samplePeriodMs: number;
  /** Least time between two reads of the samples, in milliseconds. */
  readonly sampleReadIntervalMs: number;
  /** Least time between two reads of the registrations, in milliseconds. */
  readonly registrationReadIntervalMs: number;
  /** Time between two direct reports of grants, in milliseconds. */
  readonly grantReportPeriodMs: number;
}

/** Samples that all daemons together may store a second. */
const maxSamplesPerS = 26;

/** Reads of the registrations that all daemons together may make a second. */
const maxRegistrationReadsPerS = 42;

/** Reports of grants that each daemon may send and receive a second. */
const maxGrantReportsPerS = 125;

/** A holder of duties must be seen to live within its lease, and usage be reported in time. */
const maxSamplePeriodMs = 2_800;
const minSamplePeriodMs = 1_000;
const minRegistrationReadIntervalMs = 400;
const minGrantReportPeriodMs = 250;

/** Reads just outpace the samples, so that each is seen once. */
const readIntervalRatio = 0.9;

/**
 * @param daemons - live daemons, this one included.
 * @param maxRegistrationReadIntervalMs - how late a change of a registration may be read at most.
 */
export function exchangeIntervals(
  daemons: number,
  maxRegistrationReadIntervalMs: number,
): ExchangeIntervals {
  const samplePeriodMs = clamp(
    minSamplePeriodMs,
    (daemons * 1_000) / maxSamplesPerS,
    maxSamplePeriodMs,
  );
  return {
    samplePeriodMs,
    sampleReadIntervalMs: samplePeriodMs * readIntervalRatio,
    registrationReadIntervalMs: clamp(
      minRegistrationReadIntervalMs,
      (daemons * 1_000) / maxRegistrationReadsPerS,
      maxRegistrationReadIntervalMs,
    ),
    // Beyond the period of the samples, direct reports tell nothing new.
    grantReportPeriodMs: clamp(
      minGrantReportPeriodMs,
      (daemons * 1_000) / maxGrantReportsPerS,
      samplePeriodMs,
    ),
  };
}

function clamp(min: number, value: number, max: number): number {
  return Math.max(min, Math.min(max, value));
}
