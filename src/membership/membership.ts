import type { Member } from './member.js';

/** Data of another component that travels on the probes of the membership protocol. */
export interface GossipDelegate {
  /** Unique name of the rider. */
  readonly name: string;
  /** Payload for one message, JSON-compatible; undefined when there is nothing to say. */
  collect(): unknown;
  /** Takes a peer's payload, which is unchecked. */
  deliver(payload: unknown, from: Member): void;
}

/** Demand for one workspace's shared limits over all daemons. */
export interface DemandEstimate {
  readonly ownPerS: number;
  /** Own demand plus that of the daemons heard, scaled to all members. */
  readonly totalPerS: number;
  /** Other daemons whose demand was heard recently. */
  readonly reportingDaemons: number;
}

/**
 * Which daemons are alive, as believed here. It may be wrong or late: losing it costs efficiency
 * and never violates a guarantee.
 *
 * @example
 * ```ts
 * const stop = membership.onChange(() => rehash(membership.members()));
 * ```
 */
export abstract class Membership {
  /** This daemon. */
  abstract get self(): Member;

  /** Alive and suspect members including this one, ordered by id. */
  abstract members(): readonly Member[];

  /** Members lost without a farewell in the last half hour. */
  abstract lost(): readonly Member[];

  /** A member by id, whatever its status; undefined when unknown. */
  abstract member(id: string): Member | undefined;

  /**
   * Members that are present or were lost without a farewell in the last half hour. Floors of
   * shared limits divide by this, so that a partition does not raise both sides' shares.
   */
  abstract recentMemberCount(): number;

  /** Members lost without a farewell in the last half hour; they may be cut off and still run. */
  abstract lostMembers(): readonly Member[];

  /** Calls `listener` after the set of members changed. @returns a function that stops it. */
  abstract onChange(listener: () => void): () => void;

  /** Sets this daemon's demand; the 32 workspaces with the most are told to others. */
  abstract setDemand(demandPerS: ReadonlyMap<string, number>): void;

  /** Demand for a workspace's limits, in the unit given to {@link setDemand}. */
  abstract demandOf(workspaceId: string): DemandEstimate;

  /** Adds data to each probe. Keep it below a kilobyte: it is sent several times a second. */
  abstract addDelegate(delegate: GossipDelegate): void;
}
