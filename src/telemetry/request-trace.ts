import { EventId } from './events.js';
import type { LogLine } from './log-line.js';

/** Why a line belongs to the trace of a request. */
export enum TraceRelation {
  /** The line names the request. */
  Request = 'request',
  /** The line is about an endpoint that the request was sent to. */
  Endpoint = 'endpoint',
  /** The state of a daemon that handled the request changed. */
  Daemon = 'daemon',
  /** The daemon that holds the duties acted on behalf of all. */
  Duties = 'duties',
}

/** A line of a trace. */
export interface TracedLine {
  readonly relation: TraceRelation;
  readonly line: LogLine;
  /** Number of similar lines that this one represents, including itself. */
  readonly count: number;
}

/** Events up to this long before a request may explain its outcome. */
const lookbackMs = 15_000;

/** Events up to this long after a request may show why its endpoint failed. */
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
 * Selects the lines that explain the outcome of a request, ordered by time: its own lines, those of
 * the endpoints that it was sent to, state changes of the daemons that handled it, and duties
 * performed meanwhile. Lines of one daemon about the same event within a second are merged, except
 * the request's own, so that an event of many endpoints takes one line.
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

/**
 * The part of a trace that names the cause in most cases: the request's own lines, then those of
 * its endpoints. State changes of daemons and duties are kept only for a request that was sent to
 * no endpoint, as they then say why there was none.
 */
export function essentialTrace(trace: readonly TracedLine[]): TracedLine[] {
  const having = (...relations: TraceRelation[]): TracedLine[] =>
    trace.filter(({ relation }) => relations.includes(relation));
  const own = having(TraceRelation.Request);
  const wasSent = own.some(({ line }) => instanceIdOf(line) !== undefined);
  const rest = wasSent ? [] : having(TraceRelation.Daemon, TraceRelation.Duties);
  return [...own, ...having(TraceRelation.Endpoint), ...rest];
}

/** Merges a line into an earlier one of the same daemon, event and relation within a second. */
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

/** An endpoint id starts with the instance id, followed by where and when the instance started. */
function instanceIdOf({ fields }: LogLine): string | undefined {
  const { endpoint } = fields;
  return typeof endpoint === 'string' && endpoint !== '' ? endpoint.split(':', 1)[0] : undefined;
}
