import type {
  AdminQuery,
  MissingDaemon,
  QueryAnswer,
  QueryParams,
  WorkItem,
} from '../admin-api/index.js';

/** Another daemon, as the administration API reaches it. */
export interface AdminPeer {
  readonly daemon: string;
  /** Base URL of its RPC listener. */
  readonly rpcUrl: string;
}

/** An operator's decision about a call whose outcome is unknown. */
export interface CallResolution {
  readonly id: string;
  readonly ran: boolean;
  /** How the operator found out. */
  readonly note: string;
  /** Id of the operator's key. */
  readonly operator: string;
}

/** Withdrawal of an accepted job. */
export interface JobCancellation {
  readonly id: string;
  readonly note: string;
  /** Id of the operator's key. */
  readonly operator: string;
}

/** What this daemon answers to one query about itself. */
export type QueryHandlers = {
  readonly [Q in AdminQuery]: (params: QueryParams<Q>) => Promise<QueryAnswer<Q>> | QueryAnswer<Q>;
};

/**
 * The parts of a daemon that the administration API reads and acts on. Answers are not restricted
 * to an operator's scope; the server that the operator asked does that.
 *
 * @example
 * ```ts
 * class DaemonAdminBackend extends AdminBackend { ... }
 * const server = new AdminServer({ backend: new DaemonAdminBackend(parts), ... });
 * ```
 */
export abstract class AdminBackend {
  /** Name of this daemon. */
  abstract readonly daemon: string;
  /** Name of the deployment, the first part of each settings path. */
  abstract readonly deployment: string;
  /** Answers about this daemon alone, by query. */
  abstract readonly handlers: QueryHandlers;

  /** All other daemons that should answer, including suspect ones. */
  abstract peers(): readonly AdminPeer[];

  /** Daemons lost without a farewell in the last half hour; they may still serve, cut off from here. */
  abstract lost(): readonly MissingDaemon[];

  /**
   * Records the outcome of a call, or finds that the log already holds one.
   *
   * @returns the call after the entry was read back.
   * @throws OrioleError when the entry could not be recorded in time.
   */
  abstract resolve(resolution: CallResolution): Promise<WorkItem>;

  /**
   * Records that a job is withdrawn.
   *
   * @returns the job after the entry was read back.
   * @throws OrioleError when the entry could not be recorded in time.
   */
  abstract cancel(cancellation: JobCancellation): Promise<WorkItem>;
}
