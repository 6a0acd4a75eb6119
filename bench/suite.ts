/** One measured figure. */
export interface BenchRow {
  /** What was measured, such as `claims per second, 8 daemons`. */
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** Stated target in the same unit, when there is one. */
  readonly target?: { readonly limit: number; readonly isUpperBound: boolean };
}

/**
 * A group of measurements run by `npm run bench`. Compare within one run: absolute speeds differ
 * between machines, ratios hardly do.
 *
 * @example
 * ```ts
 * export class CatchUpSuite extends BenchSuite {
 *   override readonly name = 'catch-up';
 *   override async run(): Promise<BenchRow[]> { ... }
 * }
 * ```
 */
export abstract class BenchSuite {
  abstract readonly name: string;
  abstract run(): Promise<BenchRow[]>;
}
