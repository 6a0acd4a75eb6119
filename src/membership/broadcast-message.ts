import { z } from 'zod';
import { maxPromptWork } from '../fleet/prefill-backlog.js';
import {
  quarantineMessageSchema,
  type QuarantineMessage,
} from '../quarantine/quarantine-message.js';
import { rolloutMessageSchema, type RolloutMessage } from '../rollout/rollout-message.js';
import { countsSchema } from './counts-schema.js';
import type { GrantReport } from './daemon-samples.js';

/** A long prompt that a daemon has sent to an endpoint. */
export interface PrefillReport {
  readonly endpointId: string;
  readonly tokens: number;
}

/** Kind of a {@link BroadcastMessage}. */
export enum BroadcastKind {
  Prefill = 'prefill',
  Grants = 'grants',
  Suspicion = 'suspicion',
  Leaving = 'leaving',
  Quarantine = 'quarantine',
  Rollout = 'rollout',
}

/** Who is to receive the messages of a {@link BroadcastBatch}, besides its receiver. */
export enum BatchScope {
  /** Nobody else. */
  Receiver = 'receiver',
  /** The daemons that share the receiver as distributor. */
  Group = 'group',
  /** The receiver's group, and all other groups. */
  Everyone = 'everyone',
}

/** Longest identity of an endpoint in a message; bounds the memory that a datagram takes. */
const maxEndpointIdChars = 600;

const messageSchema = z.union([
  z.tuple([
    z.literal(BroadcastKind.Prefill),
    z.string(),
    z.number().nonnegative().max(Math.ceil(maxPromptWork)),
    z.string(),
  ]),
  z.tuple([z.literal(BroadcastKind.Suspicion), z.string().min(1), z.string()]),
  z.tuple([
    z.literal(BroadcastKind.Leaving),
    z.string().min(1).max(maxEndpointIdChars),
    z.number().nonnegative(),
    z.string(),
  ]),
  z.tuple([z.literal(BroadcastKind.Quarantine), quarantineMessageSchema, z.string()]),
  z.tuple([z.literal(BroadcastKind.Rollout), rolloutMessageSchema, z.string()]),
  z.tuple([
    z.literal(BroadcastKind.Grants),
    z.string().min(1),
    z.number(),
    countsSchema,
    countsSchema,
  ]),
]);

/** Kind and content; the daemon that it comes from is the last item of all but the grants. */
export type BroadcastMessage = z.output<typeof messageSchema>;

const batchSchema = z.object({
  scope: z.enum(BatchScope),
  /** Daemon that sent the batch on, and the address at which it receives. */
  sender: z.string(),
  senderAddress: z.string(),
  messages: z.array(z.unknown()),
});

/** Messages of one datagram. */
export interface BroadcastBatch extends z.output<typeof batchSchema> {
  readonly messages: BroadcastMessage[];
}

/** Message about a prompt that `daemon` has sent. */
export function prefillMessage(daemon: string, report: PrefillReport): BroadcastMessage {
  return [BroadcastKind.Prefill, report.endpointId, Math.round(report.tokens), daemon];
}

/** Message that `daemon` could not reach an endpoint. */
export function suspicionMessage(daemon: string, endpointId: string): BroadcastMessage {
  return [BroadcastKind.Suspicion, endpointId, daemon];
}

/**
 * Message that an endpoint has told `daemon` that it leaves.
 *
 * @param ageMs - milliseconds since its response.
 */
export function leavingMessage(
  daemon: string,
  endpointId: string,
  ageMs: number,
): BroadcastMessage {
  return [BroadcastKind.Leaving, endpointId, Math.round(ageMs), daemon];
}

/** Message of `daemon` about endpoints that crashed, and the prompts that they crashed under. */
export function quarantineBroadcast(daemon: string, content: QuarantineMessage): BroadcastMessage {
  return [BroadcastKind.Quarantine, content, daemon];
}

/** Message of `daemon` about a rollout. */
export function rolloutBroadcast(daemon: string, content: RolloutMessage): BroadcastMessage {
  return [BroadcastKind.Rollout, content, daemon];
}

/** Message about the units granted by and requested from a daemon since it started. */
export function grantMessage(report: GrantReport): BroadcastMessage {
  const { daemon, incarnation, granted, asked } = report;
  return [BroadcastKind.Grants, daemon, incarnation, granted, asked];
}

/**
 * The batch in a datagram; undefined when it holds none, as anybody can send to a UDP port. Messages
 * of kinds that only later builds know are left out.
 */
export function decodeBatch(bytes: Buffer): BroadcastBatch | undefined {
  const batch = batchSchema.safeParse(parseJson(bytes)).data;
  if (!batch) return undefined;
  const messages = batch.messages.flatMap((message) => {
    const { data } = messageSchema.safeParse(message);
    return data ? [data] : [];
  });
  return { ...batch, messages };
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
}

/** Encodes a batch for one datagram. */
export function encodeBatch(batch: BroadcastBatch): Buffer {
  return Buffer.from(JSON.stringify(batch));
}
