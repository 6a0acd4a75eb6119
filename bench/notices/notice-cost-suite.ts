import { BenchSuite, type BenchRow } from '../suite.js';
import { measureDecisionRatios } from './decision-ratios.js';
import { measureLeavingTraffic } from './leaving-traffic.js';

/** Endpoints of a service of a small and of the large deployment. */
const endpointCounts = [8, 69, 600] as const;

const ratioTarget = { limit: 1.05, isUpperBound: true };
const bytesTarget = { limit: 13_000, isUpperBound: true };

/**
 * Cost of what endpoints say themselves: of the router's decisions, as a ratio to a router that knows
 * no notices, and of the reports of leaving endpoints between daemons.
 *
 * @example
 * ```ts
 * const rows = await new NoticeCostSuite().run();
 * ```
 */
export class NoticeCostSuite extends BenchSuite {
  override readonly name = 'notice-cost';

  override async run(): Promise<BenchRow[]> {
    const decisions = endpointCounts.flatMap((count) =>
      measureDecisionRatios(count).map(({ name, ratio }) => ({
        name: `decision over ${count} endpoints, ${name}`,
        value: ratio,
        unit: 'of one without notices',
        ...(name === 'no notices' ? { target: ratioTarget } : {}),
      })),
    );
    const small = await this.#traffic(7, 16, 8, 400);
    const large = await this.#traffic(195, 600, 150, 6_000);
    return [...decisions, ...small, ...large];
  }

  async #traffic(
    daemons: number,
    endpoints: number,
    leaving: number,
    requestsPerS: number,
  ): Promise<BenchRow[]> {
    const wave = { daemons, endpoints, leaving, requestsPerS };
    const { meanBytesPerS, busiestBytesPerS, arrivals, arrivalsAlone } =
      await measureLeavingTraffic(wave);
    const label = `${leaving} of ${endpoints} endpoints leave, ${daemons} daemons, ${requestsPerS} requests/s`;
    return [
      { name: `bytes in that minute; ${label}`, value: meanBytesPerS, unit: 'B/s' },
      { name: 'the same, busiest', value: busiestBytesPerS, unit: 'B/s', target: bytesTarget },
      { name: 'requests that reach leaving endpoints', value: arrivals, unit: '' },
      { name: 'the same without reports', value: arrivalsAlone, unit: '' },
    ];
  }
}
