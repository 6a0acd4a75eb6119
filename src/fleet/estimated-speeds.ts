import type { ObservedSpeed } from './endpoint-view.js';
import { SpeedProvider } from './speed-provider.js';
import type { SpeedEstimator } from './speed-estimator.js';

/** {@link SpeedProvider} with the speeds of a {@link SpeedEstimator}. */
export class EstimatedSpeeds extends SpeedProvider {
  readonly #speeds: SpeedEstimator;

  constructor(speeds: SpeedEstimator) {
    super();
    this.#speeds = speeds;
  }

  override speedOf(endpointId: string): ObservedSpeed {
    return this.#speeds.speed(endpointId);
  }
}
