import type { Random } from '../../src/core/index.js';
import { EndpointChooser, type ChosenEndpoint, type EndpointQuery } from '../../src/jobs/index.js';
import { FakeEndpointState, type FakeEndpoint } from './fake-engine.js';
import type { SimulatedProcess } from './process.js';

/**
 * Chooses at random among endpoints that are not avoided. It learns of lost endpoints only with
 * probability `knowsLostRatio`, since a daemon's view is late.
 */
export class FakeChooser extends EndpointChooser {
  readonly #endpoints: readonly FakeEndpoint[];
  readonly #process: SimulatedProcess;
  readonly #random: Random;
  readonly #knowsLostRatio: number;
  /** Choices not yet reported as finished. */
  open = 0;

  constructor(
    endpoints: readonly FakeEndpoint[],
    process: SimulatedProcess,
    random: Random,
    knowsLostRatio = 0.5,
  ) {
    super();
    this.#endpoints = endpoints;
    this.#process = process;
    this.#random = random;
    this.#knowsLostRatio = knowsLostRatio;
  }

  override async choose({
    excludedIds,
    region,
  }: EndpointQuery): Promise<ChosenEndpoint | undefined> {
    const candidates = this.#endpoints.filter(
      ({ options, state, isChoosable }) =>
        isChoosable &&
        !excludedIds.has(options.id) &&
        (region === undefined || (options.region ?? 'region') === region) &&
        (state === FakeEndpointState.Live || this.#random.float() >= this.#knowsLostRatio),
    );
    if (candidates.length === 0) return undefined;
    this.open += 1;
    return this.#random.pick(candidates).clientFor(this.#process);
  }

  override release(): void {
    this.open -= 1;
  }
}
