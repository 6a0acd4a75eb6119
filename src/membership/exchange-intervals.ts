/**
 * Intervals at which the daemons exchange their state. They grow with the number of daemons, so
 * that the load on each daemon and on the store stays that of a small deployment; with more
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

/** Numbers on which the intervals depend. */
export interface ExchangeSize {
  /** Live daemons, including this one. */
  readonly daemons: number;
  /** Live daemons of this daemon's failure domain, which may read from the same distributor. */
  readonly domainDaemons: number;
  /** Longest delay before a changed registration is read, in milliseconds. */
  readonly maxRegistrationReadIntervalMs: number;
}

/** Samples that all daemons together may publish per second. */
const maxSamplesPerS = 26;

/** Reads per second that one distributor serves for each topic. */
const maxServedReadsPerS = 42;

/** Grant reports that each daemon may receive per second; they come in batches. */
const maxGrantReportsPerS = 400;

/** A duty holder must be seen as live within its lease, and usage must be reported in time. */
const maxSamplePeriodMs = 2_800;
const minSamplePeriodMs = 1_000;
const minReadIntervalMs = 400;
const maxSampleReadIntervalMs = 1_000;
const minGrantReportPeriodMs = 250;

/** Reads are slightly more frequent than samples, so that each sample is read. */
const readIntervalRatio = 0.9;

/** A registration passes two readers, the distributor and its reader. */
const readers = 2;

/** Returns the intervals for a deployment of this size. */
export function exchangeIntervals(size: ExchangeSize): ExchangeIntervals {
  const { daemons, domainDaemons, maxRegistrationReadIntervalMs } = size;
  const samplePeriodMs = clamp(
    minSamplePeriodMs,
    (daemons * 1_000) / maxSamplesPerS,
    maxSamplePeriodMs,
  );
  return {
    samplePeriodMs,
    sampleReadIntervalMs: Math.max(
      Math.min(maxSampleReadIntervalMs, samplePeriodMs * readIntervalRatio),
      (domainDaemons * 1_000) / maxServedReadsPerS,
    ),
    registrationReadIntervalMs: clamp(
      minReadIntervalMs,
      (domainDaemons * 1_000) / maxServedReadsPerS,
      maxRegistrationReadIntervalMs / readers,
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
