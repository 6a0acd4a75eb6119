/** An operator's order to move a service to a version, as it is read. */
export interface RolloutRequest {
  readonly serviceName: string;
  /** Version that is to serve. */
  readonly to: string;
  /** Time from the writing of the order to its deadline, in milliseconds. */
  readonly durationMs: number;
}

/** An order in force. */
export interface RolloutOrder {
  readonly serviceName: string;
  readonly to: string;
  /** Earliest time at which the order may have been written, in epoch milliseconds. */
  readonly orderedAtMs: number;
  /** Time by which the version serves or is rolled back, in epoch milliseconds. */
  readonly deadlineAtMs: number;
}

/** Bounds that the platform sets for rollouts. */
export interface RolloutBounds {
  /** Share of a service's requests that a bad version may receive. */
  readonly exposeShare: number;
  /** Requests that a bad version may receive besides that share. */
  readonly exposeSlack: number;
  /** Time after the 50th bad response in which the last request is sent, in milliseconds. */
  readonly rollbackMs: number;
}
