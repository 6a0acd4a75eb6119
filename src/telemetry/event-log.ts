import './enable-roarr.js';
import { Roarr, ROARR, type Logger, type MessageContext } from 'roarr';
import { EventId } from './events.js';
import { LineWriter } from './line-writer.js';

/** Severity of a log line; the values are roarr's log levels. */
export enum Severity {
  Debug = 20,
  Info = 30,
  Warn = 40,
  Error = 50,
}

/** Fields of a log line; names end with their unit. */
export type EventFields = MessageContext;

/**
 * Writes numbered events as JSON lines.
 *
 * @example
 * ```ts
 * const log = new RoarrEventLog({ daemon: 'entry-1' });
 * log.info(EventId.DaemonReady, 'daemon is ready', { port: 8080 });
 * ```
 */
export abstract class EventLog {
  abstract write(severity: Severity, event: EventId, message: string, fields?: EventFields): void;

  debug(event: EventId, message: string, fields?: EventFields): void {
    this.write(Severity.Debug, event, message, fields);
  }

  info(event: EventId, message: string, fields?: EventFields): void {
    this.write(Severity.Info, event, message, fields);
  }

  warn(event: EventId, message: string, fields?: EventFields): void {
    this.write(Severity.Warn, event, message, fields);
  }

  error(event: EventId, message: string, fields?: EventFields): void {
    this.write(Severity.Error, event, message, fields);
  }
}

/** Options of {@link RoarrEventLog}. */
export interface RoarrEventLogOptions {
  /** Name of the daemon, added to each line. */
  readonly daemon: string;
  /** Lines below this severity are dropped. Default: {@link Severity.Info}. */
  readonly minSeverity?: Severity;
}

/** {@link EventLog} on roarr. */
export class RoarrEventLog extends EventLog {
  readonly #logger: Logger;
  readonly #minSeverity: Severity;

  constructor(options: RoarrEventLogOptions) {
    super();
    this.#logger = Roarr.child({ daemon: options.daemon });
    this.#minSeverity = options.minSeverity ?? Severity.Info;
  }

  override write(severity: Severity, event: EventId, message: string, fields?: EventFields): void {
    if (severity < this.#minSeverity) return;
    this.#logger({ ...fields, logLevel: severity, event, eventName: EventId[event] }, message);
  }
}

/** {@link EventLog} that drops everything; for tests and benchmarks. */
export class NullEventLog extends EventLog {
  override write(): void {
    // Intentionally empty.
  }
}

// roarr writes to standard output by default, which is reserved for the results of commands and the
// demo.
ROARR.write = () => undefined;

/**
 * Writes the lines of every {@link RoarrEventLog} to standard error; before the call they are
 * dropped.
 */
export function writeEventsToStderr(): void {
  ROARR.write = (line) => {
    process.stderr.write(`${line}\n`);
  };
}

/**
 * Writes the lines of every {@link RoarrEventLog} to standard output, which the platform collects.
 */
export function writeEventsToStdout(): void {
  const writer: LineWriter = new LineWriter({
    onDropped: (lines) => writer.write(JSON.stringify({ droppedLines: lines })),
  });
  ROARR.write = (line) => {
    writer.write(line);
  };
}
