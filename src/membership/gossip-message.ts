import { z } from 'zod';
import { maxCount } from './counts-schema.js';
import { memberUpdateSchema } from './member.js';

/** Request that a gossip message makes. */
export enum GossipKind {
  /** Reply immediately. */
  Ping = 'ping',
  /** Ping the target on the sender's behalf. */
  PingRequest = 'ping_request',
  /** Exchange complete member lists. */
  Sync = 'sync',
}

const digestFields = {
  /** The sender with its own status, which refutes stale statuses of it. */
  from: memberUpdateSchema,
  updates: z.array(memberUpdateSchema).max(10_000),
  demand: z
    .array(z.tuple([z.string().max(200), z.number().nonnegative().max(maxCount)]))
    .max(64)
    .catch([]),
  /** Payloads of the gossip delegates, by delegate name. */
  riders: z.record(z.string(), z.unknown()),
  /** Hash of the present members, including the sender. */
  hash: z.string().max(32),
};

/** A message of the membership protocol. */
export const gossipMessageSchema = z.object({
  ...digestFields,
  kind: z.enum(GossipKind),
  /** Member to probe for {@link GossipKind.PingRequest}. */
  target: memberUpdateSchema.optional(),
});

/** The reply to a {@link GossipMessage}. */
export const gossipReplySchema = z.object({
  ...digestFields,
  /** For {@link GossipKind.PingRequest}: whether the target answered. */
  reached: z.boolean(),
});

export type GossipMessage = z.output<typeof gossipMessageSchema>;
export type GossipReply = z.output<typeof gossipReplySchema>;
