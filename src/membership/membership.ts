import type { Member } from './member.js';

/** Data of another component that is piggybacked on the messages of the membership protocol. */
export interface GossipDelegate {
  /** Unique name, which identifies the payload in a message. */
  readonly name: string;
  /** JSON-compatible payload for one message; undefined to send none. */
  collect(): unknown;
  /** Handles the payload of a peer, which has not been validated. */
  deliver(payload: unknown, from: Member): void;
}

/** Demand for the shared limits of one workspace over all daemons. */
export interface DemandEstimate {
  readonly ownPerS: number;
  /** Own demand plus that of the reporting daemons, scaled to all members. */
  readonly totalPerS: number;
  /** Number of other daemons that reported their demand recently. */
  readonly reportingDaemons: number;
}

/**
 * The daemons that are alive, as known to this one. The information may be wrong or late: losing it
 * costs efficiency and never violates a guarantee.
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

  /** Members declared dead in the last half hour; those that left on purpose are not included. */
  abstract lost(): readonly Member[];

  /** A member by id, whatever its status; undefined when unknown. */
  abstract member(id: string): Member | undefined;

  /**
   * Number of members that are present, including this one, or were declared dead in the last half
   * hour. Minimum shares of the limits are divided by it, so that a partition does not raise the
   * shares of both sides.
   */
  abstract recentMemberCount(): number;

  /** Same as {@link lost}, for callers that contact them: they may be partitioned and still run. */
  abstract lostMembers(): readonly Member[];

  /** Calls `listener` after the members changed. @returns a function that removes the listener. */
  abstract onChange(listener: () => void): () => void;

  /** Sets this daemon's demand; the 32 workspaces with the highest are sent to peers. */
  abstract setDemand(demandPerS: ReadonlyMap<string, number>): void;

  /** Estimated demand for a workspace's limits, in the unit given to {@link setDemand}. */
  abstract demandOf(workspaceId: string): DemandEstimate;

  /** Adds a payload to each message. Keep it below 1 kB: it is sent several times a second. */
  abstract addDelegate(delegate: GossipDelegate): void;
}
