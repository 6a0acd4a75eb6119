import { z } from 'zod';
import { EventId } from './events.js';

const lineSchema = z.object({
  /** Epoch milliseconds. */
  time: z.number(),
  message: z.string(),
  context: z.looseObject({
    daemon: z.string(),
    event: z.enum(EventId),
    eventName: z.string(),
  }),
});

/** A parsed log line of a daemon. */
export interface LogLine {
  /** Epoch milliseconds on the daemon's clock. */
  readonly atMs: number;
  readonly daemon: string;
  readonly event: EventId;
  readonly eventName: string;
  readonly message: string;
  /** All other fields of the line. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses a line of a log. Text before the JSON, such as a log collector's prefix, is ignored.
 *
 * @returns undefined when a daemon did not write the line.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const line = lineSchema.safeParse(JSON.parse(text.slice(start))).data;
    if (!line) return undefined;
    const { daemon, event, eventName, ...fields } = line.context;
    return { atMs: line.time, daemon, event, eventName, message: line.message, fields };
  } catch {
    return undefined; // Other programs may write to the same file.
  }
}
