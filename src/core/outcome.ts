/** What a caller may conclude about work that did not succeed; sent as `oriolestack-outcome`. */
export enum Outcome {
  /** The work provably did not run: no byte of it was sent to a back end. */
  NotRun = 'not_run',
  /** The work may have run, in part or whole. */
  Unknown = 'unknown',
}

/** Response header that carries an {@link Outcome} on every answer that is not a success. */
export const outcomeHeader = 'oriolestack-outcome';
