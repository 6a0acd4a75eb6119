import { z } from 'zod';
import { idSchema, partIdsSchema, quarantineEntrySchema } from './quarantine-entry.js';

/** Longest age of a message that says anything, in milliseconds. */
const maxAgeMs = 300_000;

const ageSchema = z.number().nonnegative().max(maxAgeMs);

/** A {@link CrashReport} as it crosses processes, with the time since the crash. */
export const crashMessageSchema = z.object({
  endpointId: idSchema,
  requestId: idSchema,
  partIds: partIdsSchema,
  /** Time since the request was sent. */
  sentAgeMs: ageSchema,
  /** Time since the endpoint crashed. */
  ageMs: ageSchema,
});

/** Parts of prompts on which an answer came whole, and how long ago. */
export const answerMessageSchema = z.object({ partIds: partIdsSchema, ageMs: ageSchema });

/** What daemons tell each other about endpoints that crashed; each message has one of the fields. */
export const quarantineMessageSchema = z.object({
  crash: crashMessageSchema.optional(),
  answer: answerMessageSchema.optional(),
  entry: quarantineEntrySchema.optional(),
});

export type CrashMessage = z.output<typeof crashMessageSchema>;
export type QuarantineMessage = z.output<typeof quarantineMessageSchema>;
