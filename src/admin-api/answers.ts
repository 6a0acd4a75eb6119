import { z } from 'zod';
import { WorkClass } from '../core/index.js';

/** One settings section in force on a daemon. */
export const sectionInForceSchema = z.object({
  path: z.string(),
  /** Position of the settings change that set the section. */
  revision: z.number(),
  values: z.record(z.string(), z.string()),
});

/** Settings in force on one daemon. */
export const settingsInForceSchema = z.object({
  /** Position of the last change that the daemon has applied; 0 before the first. */
  revision: z.number(),
  /** Next offset of the `config` stream that the daemon reads. */
  nextOffset: z.number(),
  /** Last time at which the daemon had read the whole stream, in epoch milliseconds. */
  caughtUpAtMs: z.number(),
  sections: z.array(sectionInForceSchema),
});

/** Capacity control on one daemon. */
export const capacityStatusSchema = z.object({
  /** Whether the daemon is a candidate for controllers and follows the control stream. */
  followsControl: z.boolean(),
  /** Controllers whose lease the daemon holds. */
  controllers: z.array(
    z.object({
      serviceId: z.string(),
      region: z.string(),
      fence: z.number(),
      /** Kinds of VMs that the cloud refused to start; they are not retried before `untilMs`. */
      refusedStarts: z.array(
        z.object({
          failureDomain: z.string(),
          vmClass: z.string(),
          reclaimable: z.boolean(),
          refusals: z.number(),
          untilMs: z.number(),
        }),
      ),
      rollout: z
        .object({
          phase: z.string(),
          version: z.string(),
          failedVersion: z.string().nullable(),
          reason: z.string(),
          endpointsOnVersion: z.number(),
          endpoints: z.number(),
        })
        .nullable(),
    }),
  ),
  /**
   * Data sources without an update for more than 30 s: `list`, `log`, `cloud`. The controllers make
   * no large capacity change while there is one.
   */
  staleSources: z.array(z.string()),
});

/** State of one daemon. */
export const daemonStatusSchema = z.object({
  version: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  ready: z.boolean(),
  stopping: z.boolean(),
  startedAtMs: z.number(),
  /** Position of the last settings change applied. */
  settingsRevision: z.number(),
  settingsCaughtUpAtMs: z.number(),
  /** False while the circuit breaker of the log client is open. */
  logReachable: z.boolean(),
  liveMembers: z.number(),
  suspectMembers: z.number(),
  inFlightRequests: z.number(),
  queuedRequests: z.number(),
  /** Null when the daemon has no cloud API. */
  capacity: capacityStatusSchema.nullable().default(null),
});

/** One daemon's view of one endpoint. */
export const endpointStatusSchema = z.object({
  /** Path of the settings section, `deployment/team/endpoints/name`. */
  path: z.string(),
  /** VM identity and incarnation. */
  id: z.string(),
  serviceId: z.string(),
  state: z.string(),
  failureDomain: z.string(),
  /** Deadline of a reclaim notice or a drain, in epoch milliseconds; null when there is none. */
  leavingAtMs: z.number().nullable(),
  inFlightRequests: z.number(),
  /** Age of the last load report; null before the first. */
  reportAgeMs: z.number().nullable(),
  tokenGapMs: z.number().nullable(),
  /** How many times slower than its peers; 1 is equal. */
  slowdownRatio: z.number(),
});

/** Kind of a work item that `oriolectl jobs` accepts by id. */
export enum WorkKind {
  /** An accepted job. */
  Job = 'job',
  /** A non-repeatable call. */
  Call = 'call',
}

/** State of a job or of a non-repeatable call. */
export enum WorkState {
  Accepted = 'accepted',
  Running = 'running',
  Done = 'done',
  Cancelled = 'cancelled',
  /** The call may have run; an operator can resolve it. */
  Unknown = 'unknown',
  /** Resolved by an operator or by the service's status route. */
  ResolvedRan = 'resolved_ran',
  ResolvedNotRun = 'resolved_not_run',
}

/** A job or a non-repeatable call. */
export const workItemSchema = z.object({
  id: z.string(),
  kind: z.enum(WorkKind),
  /** `team/name`. */
  workspaceId: z.string(),
  /** `team/name`. */
  serviceId: z.string(),
  state: z.enum(WorkState),
  workClass: z.enum(WorkClass).nullable(),
  acceptedAtMs: z.number().nullable(),
  deadlineAtMs: z.number().nullable(),
  /** Daemon that holds the lease or made the call. */
  owner: z.string(),
  /** Increases with each change of owner; the entry with the highest fence is the newest. */
  fence: z.number(),
  recordedTokens: z.number().nullable(),
  /** Note of the operator who resolved or cancelled it. */
  note: z.string(),
});

/** Routing decision for one request. */
export const explanationSchema = z.object({
  requestId: z.string(),
  /** `team/name`. */
  workspaceId: z.string(),
  /** `team/name`. */
  serviceId: z.string(),
  decidedAtMs: z.number(),
  /** Chosen endpoint; empty when none was eligible. */
  chosen: z.string(),
  outcome: z.string(),
  candidates: z.array(
    z.object({
      endpoint: z.string(),
      /** Filter that excluded it; empty for an eligible one. */
      excludedBy: z.string(),
      /** Expected cost in USD-equivalents; null when excluded. */
      scoreUsd: z.number().nullable(),
      /** Terms of the score by name, in USD-equivalents. */
      terms: z.record(z.string(), z.number()),
    }),
  ),
});

/** Result of a drain on one daemon. */
export const drainResultSchema = z.object({
  path: z.string(),
  /** Identities that the daemon now treats as leaving. */
  ids: z.array(z.string()),
  inFlightRequests: z.number(),
});

/** A daemon that did not answer. */
export const missingDaemonSchema = z.object({
  daemon: z.string(),
  reason: z.string(),
  /**
   * When the queried daemon declared it dead, in epoch milliseconds; undefined for a member that
   * did not answer.
   */
  lostAtMs: z.number().optional(),
});

export type SectionInForce = z.output<typeof sectionInForceSchema>;
export type SettingsInForce = z.output<typeof settingsInForceSchema>;
export type DaemonStatus = z.output<typeof daemonStatusSchema>;
export type CapacityStatus = z.output<typeof capacityStatusSchema>;
export type EndpointStatus = z.output<typeof endpointStatusSchema>;
export type WorkItem = z.output<typeof workItemSchema>;
export type Explanation = z.output<typeof explanationSchema>;
export type DrainResult = z.output<typeof drainResultSchema>;
export type MissingDaemon = z.output<typeof missingDaemonSchema>;

/** Answers by daemon, and the daemons without an answer. */
export interface Gathered<T> {
  readonly answers: readonly { readonly daemon: string; readonly answer: T }[];
  readonly missing: readonly MissingDaemon[];
}

/**
 * Schema of a {@link Gathered} answer.
 *
 * @example
 * ```ts
 * const status = gatheredSchema(daemonStatusSchema).parse(body);
 * ```
 */
export function gatheredSchema<T>(answer: z.ZodType<T>): z.ZodType<Gathered<T>> {
  return z.object({
    answers: z.array(z.object({ daemon: z.string(), answer })),
    missing: z.array(missingDaemonSchema),
  });
}
