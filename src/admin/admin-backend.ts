import type {
  AdminQuery,
  MissingDaemon,
  QueryAnswer,
  QueryParams,
  WorkItem,
} from '../admin-api/index.js';

/** Another daemon and the address at which the administration API reaches it. */
export interface AdminPeer {
  readonly daemon: string;
  /** Base URL of its RPC listener. */
  readonly rpcUrl: string;
}

/** An operator's decision about a call whose outcome is unknown. */
export interface CallResolution {
  readonly id: string;
  readonly ran: boolean;
  /** How the operator determined the outcome. */
  readonly note: string;
  /** Id of the operator's key. */
  readonly operator: string;
}

/** An operator's cancellation of an accepted job. */
export interface JobCancellation {
  readonly id: string;
  readonly note: string;
  /** Id of the operator's key. */
  readonly operator: string;
}

/** Handlers that answer each query for this daemon alone. */
export type QueryHandlers = {
  readonly [Q in AdminQuery]: (params: QueryParams<Q>) => Promise<QueryAnswer<Q>> | QueryAnswer<Q>;
};

/**
 * Access of the administration API to the state of a daemon. Answers are not restricted to an
 * operator's scope; the server that received the operator's request restricts them.
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
  /** Handlers for queries about this daemon, by query. */
  abstract readonly handlers: QueryHandlers;

  /** All other members, including suspect ones. */
  abstract peers(): readonly AdminPeer[];

  /**
   * Daemons declared dead in the last half hour, without those that left on purpose. They may still
   * serve on the other side of a network partition.
   */
  abstract lost(): readonly MissingDaemon[];

  /**
   * Records the outcome of a call, unless the log already holds one.
   *
   * @returns the call, as read back from the log.
   * @throws OrioleError when the entry could not be recorded in time.
   */
  abstract resolve(resolution: CallResolution): Promise<WorkItem>;

  /**
   * Records the cancellation of a job.
   *
   * @returns the job, as read back from the log.
   * @throws OrioleError when the entry could not be recorded in time.
   */
  abstract cancel(cancellation: JobCancellation): Promise<WorkItem>;
}
