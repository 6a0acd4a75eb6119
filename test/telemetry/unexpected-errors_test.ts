import { describe, expect, it } from 'vitest';
import { EventId, UnexpectedErrorKind, reportUnexpectedErrors } from '../../src/telemetry/index.js';
import { PrometheusMetrics } from '../../src/telemetry/prometheus-metrics.js';
import { RecordingEventLog } from '../gateway/recording-event-log.js';

describe('reportUnexpectedErrors', () => {
  function report(hasStarted: boolean) {
    const events = new RecordingEventLog();
    const metrics = new PrometheusMetrics();
    const exits: number[] = [];
    const onError = reportUnexpectedErrors({
      events,
      metrics,
      hasStarted: () => hasStarted,
      exit: (code) => exits.push(code),
    });
    return { events, metrics, exits, onError };
  }

  it('keeps a process that serves, so that one error does not cut the requests of all callers', async () => {
    const { events, metrics, exits, onError } = report(true);
    onError(UnexpectedErrorKind.Rejection, new TypeError('x is undefined'));
    onError(UnexpectedErrorKind.Exception, 'a string');
    expect(exits).toEqual([]);
    expect(events.lines.map(({ event, fields }) => [event, fields.reason])).toEqual([
      [EventId.UnexpectedError, 'x is undefined'],
      [EventId.UnexpectedError, 'a string'],
    ]);
    expect(await metrics.text()).toContain(
      'oriolestack_unexpected_errors{kind="unhandledRejection"} 1',
    );
  });

  it('ends a process that has not started, so that it is not taken for one that serves', () => {
    const { exits, onError } = report(false);
    onError(UnexpectedErrorKind.Exception, new Error('address in use'));
    expect(exits).toEqual([1]);
  });
});
