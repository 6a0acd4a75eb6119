import { EventId } from './events.js';
import type { LogLine } from './log-line.js';

/** Why a line belongs to the trace of a request. */
export enum TraceRelation {
  /** It names the request. */
  Request = 'request',
  /** It tells of an endpoint that the request was sent to. */
  Endpoint = 'endpoint',
  /** The daemon that had the request changed what it believes. */
  Daemon = 'daemon',
  /** The daemon that holds the duties acted for all. */
  Duties = 'duties',
}

/** A line of a trace. */
export interface TracedLine {
  readonly relation: TraceRelation;
  readonly line: LogLine;
  /** Lines like this one that it stands for, itself included. */
  readonly count: number;
}

/** Beliefs that are this old may still explain a request. */
const lookbackMs = 15_000;

/** What happened to an endpoint soon afterwards shows why it failed. */
const lookaheadMs = 5_000;

const daemonStateEvents = new Set([
  EventId.ConfigInForce,
  EventId.ConfigUnreadable,
  EventId.DaemonStarted,
  EventId.DaemonStopping,
  EventId.EndpointLapsed,
  EventId.EndpointLeaving,
  EventId.EndpointSuspected,
  EventId.LogReadFailing,
  EventId.LogReadRecovered,
]);

const dutyEvents = new Set([
  EventId.ControlLeaseLost,
  EventId.ControlLeaseTaken,
  EventId.EndpointsOrdered,
  EventId.OrderUnanswered,
]);

/**
 * The lines that explain what became of a request, by time: its own, those of the endpoints that it
 * was sent to, and what the daemons believed and did about it. Lines that say the same of several
 * endpoints within the same second stand as one.
 *
 * @example
 * ```ts
 * const trace = traceRequest(lines, 'be98e391781edea9');
 * ```
 */
export function traceRequest(lines: readonly LogLine[], requestId: string): TracedLine[] {
  const requestLines = lines.filter(({ fields }) => fields.requestId === requestId);
  if (requestLines.length === 0) return [];
  const timesMs = requestLines.map(({ atMs, fields }) => [atMs - elapsedMs(fields), atMs]).flat();
  const fromMs = Math.min(...timesMs) - lookbackMs;
  const untilMs = Math.max(...timesMs) + lookaheadMs;
  const daemons = new Set(requestLines.map(({ daemon }) => daemon));
  const instanceIds = new Set(requestLines.map(instanceIdOf).filter((name) => name !== undefined));
  const relationOf = (line: LogLine): TraceRelation | undefined => {
    if (line.fields.requestId === requestId) return TraceRelation.Request;
    if (line.fields.requestId !== undefined) return undefined;
    const instanceId = instanceIdOf(line);
    if (instanceId !== undefined && instanceIds.has(instanceId)) return TraceRelation.Endpoint;
    if (daemonStateEvents.has(line.event) && daemons.has(line.daemon)) return TraceRelation.Daemon;
    return dutyEvents.has(line.event) ? TraceRelation.Duties : undefined;
  };
  return lines
    .filter(({ atMs }) => atMs >= fromMs && atMs <= untilMs)
    .toSorted((a, b) => a.atMs - b.atMs)
    .flatMap((line) => {
      const relation = relationOf(line);
      return relation ? [{ relation, line, count: 1 }] : [];
    })
    .reduce<TracedLine[]>(collapse, []);
}

/** Joins lines of several endpoints about the same event of the same daemon and second. */
function collapse(trace: TracedLine[], next: TracedLine): TracedLine[] {
  const matchIndex = trace.findIndex(
    ({ relation, line }) =>
      relation === next.relation &&
      relation !== TraceRelation.Request &&
      line.event === next.line.event &&
      line.daemon === next.line.daemon &&
      next.line.atMs - line.atMs < 1_000,
  );
  const first = trace[matchIndex];
  if (!first) return [...trace, next];
  return trace.with(matchIndex, { ...first, count: first.count + 1 });
}

function elapsedMs({ elapsedMs: elapsed }: LogLine['fields']): number {
  return typeof elapsed === 'number' ? elapsed : 0;
}

/** Endpoints are named by their instance, followed by where and when it started. */
function instanceIdOf({ fields }: LogLine): string | undefined {
  return typeof fields.endpoint === 'string' ? fields.endpoint.split(':', 1)[0] : undefined;
}
