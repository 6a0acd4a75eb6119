/** Load of a service's engines over all daemons. */
export interface EngineLoad {
  /** Prompt tokens sent for prefill, per second. */
  readonly prefillTokensPerS: number;
  /** Requests in flight. */
  readonly inFlight: number;
  /** Requests that one endpoint runs concurrently. */
  readonly batchSlots: number;
  /** Prompt tokens that one endpoint can prefill per second. */
  readonly prefillRateTokensPerS: number;
}

/**
 * Ratio of the time that an endpoint spends on prefill, during which its running streams pause. At
 * a fifth of the time, prompts rarely coincide, and two thirds of the endpoints can carry the load
 * when a failure domain is reclaimed.
 */
const targetPrefillRatio = 0.2;

/** Ratio of batch slots in use; the rest absorbs bursts and the loss of a failure domain. */
const targetSlotRatio = 0.4;

/** Endpoints that a service needs so that its requests do not delay each other. */
export function endpointsFor(load: EngineLoad): number {
  const byPrefill = load.prefillTokensPerS / (load.prefillRateTokensPerS * targetPrefillRatio);
  const bySlots = load.inFlight / (load.batchSlots * targetSlotRatio);
  return Math.ceil(Math.max(byPrefill, bySlots));
}
