/** A request that was in progress at an endpoint when the endpoint crashed. */
export interface CrashReport {
  readonly endpointId: string;
  readonly requestId: string;
  /** Parts of its prompt that other requests may share. */
  readonly partIds: readonly string[];
  /** Time at which it was sent, on this daemon's clock, in epoch milliseconds. */
  readonly sentAtMs: number;
  /** End of the endpoint on this daemon's clock, in epoch milliseconds. */
  readonly crashedAtMs: number;
}
