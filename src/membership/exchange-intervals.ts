/**
 * Intervals at which the daemons exchange their state. They grow with the number of daemons, so
 * that the total load on the store and the network stays that of a small deployment; with more
 * daemons, the state of a single one also matters less to the others.
 */
export interface ExchangeIntervals {
  /** Time between two samples of a daemon in the store, in milliseconds. */
  readonly samplePeriodMs: number;
  /** Minimum time between two reads of the samples, in milliseconds. */
  readonly sampleReadIntervalMs: number;
  /** Minimum time between two reads of the registrations, in milliseconds. */
  readonly registrationReadIntervalMs: number;
  /** Time between two broadcasts of a grant report, in milliseconds. */
  readonly grantReportPeriodMs: number;
}

/** Samples that all daemons together may store per second. */
const maxSamplesPerS = 26;

/** Reads of the registrations that all daemons together may make per second. */
const maxRegistrationReadsPerS = 42;

/** Grant reports that each daemon may send and receive per second. */
const maxGrantReportsPerS = 125;

/** A duty holder must be seen as live within its lease, and usage must be reported in time. */
const maxSamplePeriodMs = 2_800;
const minSamplePeriodMs = 1_000;
const minRegistrationReadIntervalMs = 400;
const minGrantReportPeriodMs = 250;

/** Reads are slightly more frequent than samples, so that each sample is read. */
const readIntervalRatio = 0.9;

/**
 * Returns the intervals for a number of daemons.
 *
 * @param daemons - number of live daemons, including this one.
 * @param maxRegistrationReadIntervalMs - longest delay before a changed registration is read.
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
    // Reports that are less frequent than the samples add nothing to them.
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
