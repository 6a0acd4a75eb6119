import { z } from 'zod';

/** Status of a daemon as seen by another; within one incarnation, a later value overrides. */
export enum MemberStatus {
  Alive = 'alive',
  /** Did not answer probes; still counted as a member until the suspicion times out. */
  Suspect = 'suspect',
  Dead = 'dead',
  /** Stopped on purpose. */
  Left = 'left',
}

/** Statuses in the order of overriding; the index is the number on the wire. */
const statuses = [
  MemberStatus.Alive,
  MemberStatus.Suspect,
  MemberStatus.Dead,
  MemberStatus.Left,
] as const;

/** Location and addresses of a daemon; constant while it runs. */
export interface MemberInfo {
  /** Name of the daemon, unique in the deployment. */
  readonly id: string;
  /** Base URL of the RPC listener. */
  readonly rpcUrl: string;
  /** Base URL of the administration listener. */
  readonly adminUrl: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** A daemon as known to another one. */
export interface Member extends MemberInfo {
  /** Start time in epoch milliseconds, raised by one for each refuted suspicion. */
  readonly incarnation: number;
  readonly status: MemberStatus;
  /** Local time at which the status was learned, in epoch milliseconds. */
  readonly statusSinceMs: number;
}

/** A member on the wire, as an array to keep digests small. */
export const memberUpdateSchema = z.tuple([
  z.string().max(200),
  z.number().int().nonnegative(),
  z
    .number()
    .int()
    .min(0)
    .max(statuses.length - 1),
  z.string().max(300),
  z.string().max(300),
  z.string().max(64),
  z.string().max(64),
]);

/** See {@link memberUpdateSchema}. */
export type MemberUpdate = z.output<typeof memberUpdateSchema>;

/** @internal */
export function encodeMember(member: Member): MemberUpdate {
  return [
    member.id,
    member.incarnation,
    statuses.indexOf(member.status),
    member.rpcUrl,
    member.adminUrl,
    member.region,
    member.failureDomain,
  ];
}

/** @internal */
export function decodeMember(update: MemberUpdate, nowMs: number): Member {
  const [id, incarnation, status, rpcUrl, adminUrl, region, failureDomain] = update;
  return {
    id,
    incarnation,
    status: statuses[status] ?? MemberStatus.Dead,
    rpcUrl,
    adminUrl,
    region,
    failureDomain,
    statusSinceMs: nowMs,
  };
}

/** Whether `candidate` holds newer information about the same daemon than `known`. */
export function supersedes(candidate: Member, known: Member): boolean {
  if (candidate.incarnation !== known.incarnation) return candidate.incarnation > known.incarnation;
  return statuses.indexOf(candidate.status) > statuses.indexOf(known.status);
}

/** Whether the member is probed and counted. */
export function isPresent({ status }: Member): boolean {
  return status === MemberStatus.Alive || status === MemberStatus.Suspect;
}
