import { z } from 'zod';

/** Which of the two versions of a rollout served a request. */
export enum Arm {
  Old = 0,
  New = 1,
}

/** Routes of a service that a report sets apart; the others count together. */
export const maxReportedRoutes = 24;

/** Rollouts of which one daemon reports at a time. */
export const maxReportedRollouts = 8;

const count = z.number().nonnegative();

/** Number, sum and sum of squares of the natural logarithms of times in milliseconds. */
const momentsSchema = z.tuple([count, z.number(), count]);

/**
 * In order: the route; the version; responses, with attempts that ended without one; failures among
 * them that the endpoint is to blame for; the time from the send to the first event or the complete
 * response; the mean time between the first events of a stream. A tuple, as each daemon sends dozens
 * of them a second.
 */
const cellSchema = z.tuple([
  z.string().max(200),
  z.enum(Arm),
  count,
  count,
  momentsSchema,
  momentsSchema,
]);

/** Counts of one route and version since the order. */
export type EvidenceCell = z.output<typeof cellSchema>;

/** Moments of a sample of logarithms. */
export type Moments = Readonly<z.output<typeof momentsSchema>>;

export const rolloutReportSchema = z.object({
  serviceName: z.string().min(1).max(200),
  to: z.string().min(1).max(200),
  /** Run of the daemon. */
  incarnation: z.number(),
  /** Increases with each report of a run. */
  sequence: z.int().nonnegative(),
  /** Revision of the state that the daemon acts on; 0 while it sends nothing to the version. */
  revision: z.int().nonnegative(),
  /** Requests open at endpoints of other versions. */
  openAtOld: count,
  /** Longest time of a request of the service lately, in milliseconds. */
  longestMs: count,
  /** Requests of callers for the service since the order. */
  arrivals: count,
  /** Sends to the version since the order. */
  exposed: count,
  cells: z.array(cellSchema).max(2 * (maxReportedRoutes + 1)),
});

/** What one daemon has seen of a rollout since the order. */
export type RolloutReport = Readonly<z.output<typeof rolloutReportSchema>>;
