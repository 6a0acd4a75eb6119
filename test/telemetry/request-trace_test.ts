import { describe, expect, it } from 'vitest';
import {
  EventId,
  TraceRelation,
  essentialTrace,
  parseLogLine,
  traceRequest,
} from '../../src/telemetry/index.js';

function line(atMs: number, daemon: string, event: EventId, fields: Record<string, unknown> = {}) {
  const context = { ...fields, daemon, event, eventName: EventId[event], logLevel: 30 };
  return JSON.stringify({ time: atMs, message: 'm', context });
}

describe('parseLogLine', () => {
  it("parses a line with a log collector's prefix", () => {
    const text = `12.5 front-1 | ${line(7, 'front-1', EventId.DaemonStarted, { a: 1 })}`;
    expect(parseLogLine(text)).toMatchObject({ atMs: 7, daemon: 'front-1', fields: { a: 1 } });
  });

  it('ignores lines of other programs', () => {
    for (const text of ['', 'x', '{', '{}', '{"time":1,"message":"m","context":{}}', 'a { b }']) {
      expect(parseLogLine(text)).toBeUndefined();
    }
  });
});

describe('traceRequest', () => {
  const at = 1_000_000;
  const endpoint = 'i-1:registered/i-1#5';
  const lines = [
    line(at - 60_000, 'front-1', EventId.LogReadFailing),
    line(at - 900, 'front-1', EventId.EndpointLeaving, { endpoint: 'i-7:registered/i-7#5' }),
    line(at - 890, 'front-1', EventId.EndpointLeaving, { endpoint: 'i-8:registered/i-8#5' }),
    line(at - 800, 'front-2', EventId.EndpointLeaving, { endpoint: 'i-7:registered/i-7#5' }),
    line(at - 700, 'front-3', EventId.OrderUnanswered, { reason: 'none' }),
    line(at - 5, 'front-2', EventId.AttemptFailed, { requestId: 'other', endpoint }),
    line(at, 'front-1', EventId.AttemptFailed, { requestId: 'r', endpoint, elapsedMs: 40 }),
    line(at + 100, 'front-2', EventId.EndpointSuspected, { endpoint }),
  ];
  const trace = traceRequest(lines.map((text) => parseLogLine(text)!).reverse(), 'r');

  it('returns only the lines that explain a request, ordered by time', () => {
    expect(trace.map(({ relation, line: { daemon, event } }) => [relation, daemon, event])).toEqual(
      [
        [TraceRelation.Daemon, 'front-1', EventId.EndpointLeaving],
        [TraceRelation.Duties, 'front-3', EventId.OrderUnanswered],
        [TraceRelation.Request, 'front-1', EventId.AttemptFailed],
        [TraceRelation.Endpoint, 'front-2', EventId.EndpointSuspected],
      ],
    );
  });

  it('merges simultaneous lines about several endpoints, which would hide the cause', () => {
    expect(trace.map(({ count }) => count)).toEqual([2, 1, 1, 1]);
  });

  describe('its essential part', () => {
    it('is the request and its endpoints, so that the cause is not lost among other events', () => {
      expect(essentialTrace(trace).map(({ relation }) => relation)).toEqual([
        TraceRelation.Request,
        TraceRelation.Endpoint,
      ]);
    });

    it('says why no endpoint was there for a request that was sent to none', () => {
      const refused = line(at, 'front-1', EventId.RequestRefused, { requestId: 'n', endpoint: '' });
      const withRefused = [...lines, refused].map((text) => parseLogLine(text)!);
      expect(
        essentialTrace(traceRequest(withRefused, 'n')).map(({ relation }) => relation),
      ).toEqual([TraceRelation.Request, TraceRelation.Daemon, TraceRelation.Duties]);
    });
  });

  it('is empty for a request id that no line contains', () => {
    expect(traceRequest([], 'r')).toEqual([]);
  });
});
