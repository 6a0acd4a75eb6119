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

/** A line that a daemon wrote. */
export interface LogLine {
  /** Epoch milliseconds by the daemon's clock. */
  readonly atMs: number;
  readonly daemon: string;
  readonly event: EventId;
  readonly eventName: string;
  readonly message: string;
  /** Everything else that the line says. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Reads a line of a log, with or without something that a collector put before it.
 *
 * @returns undefined when the line is none of a daemon.
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
