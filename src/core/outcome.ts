/** What a caller may conclude about work that did not succeed; sent as `oriolestack-outcome`. */
export enum Outcome {
  /** The work provably did not run: no byte of it was sent to a back end. */
  NotRun = 'not_run',
  /** The work may have run, partly or completely. */
  Unknown = 'unknown',
}

/** Response header that carries an {@link Outcome} on every unsuccessful response. */
export const outcomeHeader = 'oriolestack-outcome';
