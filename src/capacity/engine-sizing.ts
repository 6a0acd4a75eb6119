/** Load of a service's engines over all daemons. */
export interface EngineLoad {
  /** Prompt tokens sent to be read, per second. */
  readonly prefillTokensPerS: number;
  /** Requests in flight. */
  readonly inFlight: number;
  /** Requests that one endpoint runs at once. */
  readonly batchSlots: number;
  /** Prompt tokens that one endpoint reads per second. */
  readonly prefillRateTokensPerS: number;
}

/**
 * Part of the time that an endpoint reads prompts. While it does, the streams that run there pause:
 * at a fifth of the time few prompts meet, and two thirds of the endpoints can carry the load when a
 * failure domain is reclaimed.
 */
const targetPrefillRatio = 0.2;

/** Part of the batch slots in use; the rest is for bursts and for the loss of a failure domain. */
const targetSlotRatio = 0.4;

/** Endpoints that keep the load of a service below the point where requests delay each other. */
export function endpointsFor(load: EngineLoad): number {
  const byPrefill = load.prefillTokensPerS / (load.prefillRateTokensPerS * targetPrefillRatio);
  const bySlots = load.inFlight / (load.batchSlots * targetSlotRatio);
  return Math.ceil(Math.max(byPrefill, bySlots));
}
