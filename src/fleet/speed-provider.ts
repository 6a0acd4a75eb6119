import type { ObservedSpeed } from './endpoint-view.js';

/**
 * Source of the observed speeds of endpoints.
 *
 * @example
 * ```ts
 * const { slowdownRatio } = speeds.speedOf(view.id);
 * ```
 */
export abstract class SpeedProvider {
  /** Returns the same object as long as nothing changed. */
  abstract speedOf(endpointId: string): ObservedSpeed;
}

const unknownSpeed: ObservedSpeed = {
  tokenGapMs: undefined,
  prefillTokensPerS: undefined,
  slowdownRatio: 1,
};

/** {@link SpeedProvider} without observations. */
export class UnknownSpeeds extends SpeedProvider {
  override speedOf(): ObservedSpeed {
    return unknownSpeed;
  }
}
