import {
  EventId,
  EventLog,
  parseLogLine,
  type EventFields,
  type LogLine,
  type Severity,
} from '../../src/telemetry/index.js';

/** Records log lines as the text that a daemon writes, and parses them back. */
export class RecordingEventLog extends EventLog {
  readonly texts: string[] = [];

  override write(severity: Severity, event: EventId, message: string, fields?: EventFields): void {
    const context = {
      ...fields,
      daemon: 'front-1',
      logLevel: severity,
      event,
      eventName: EventId[event],
    };
    this.texts.push(JSON.stringify({ time: Date.now(), message, context }));
  }

  get lines(): LogLine[] {
    return this.texts.map(parseLogLine).filter((line) => line !== undefined);
  }
}
