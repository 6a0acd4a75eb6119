import { z } from 'zod';
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

const messageSchema = z.union([
  z.tuple([z.literal(BroadcastKind.Prefill), z.string(), z.number().nonnegative(), z.string()]),
  z.tuple([
    z.literal(BroadcastKind.Grants),
    z.string().min(1),
    z.number(),
    z.record(z.string(), z.number().nonnegative()),
    z.record(z.string(), z.number().nonnegative()),
  ]),
]);

/** Kind and content; the daemon that it comes from is the last item of a prompt's. */
export type BroadcastMessage = z.output<typeof messageSchema>;

const batchSchema = z.object({
  scope: z.enum(BatchScope),
  /** Daemon that sent the batch on, and the address at which it receives. */
  sender: z.string(),
  senderAddress: z.string(),
  messages: z.array(messageSchema),
});

/** Messages of one datagram. */
export type BroadcastBatch = z.output<typeof batchSchema>;

/** Message about a prompt that `daemon` has sent. */
export function prefillMessage(daemon: string, report: PrefillReport): BroadcastMessage {
  return [BroadcastKind.Prefill, report.endpointId, Math.round(report.tokens), daemon];
}

/** Message about the units granted by and requested from a daemon since it started. */
export function grantMessage(report: GrantReport): BroadcastMessage {
  const { daemon, incarnation, granted, asked } = report;
  return [BroadcastKind.Grants, daemon, incarnation, granted, asked];
}

/** The batch in a datagram; undefined when it holds none, as anybody can send to a UDP port. */
export function decodeBatch(bytes: Buffer): BroadcastBatch | undefined {
  try {
    return batchSchema.safeParse(JSON.parse(bytes.toString())).data;
  } catch {
    return undefined;
  }
}

/** Encodes a batch for one datagram. */
export function encodeBatch(batch: BroadcastBatch): Buffer {
  return Buffer.from(JSON.stringify(batch));
}
