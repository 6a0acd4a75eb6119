import { hash32 } from '../core/index.js';
import type { EndpointView } from '../fleet/index.js';

/**
 * Selects the endpoints that one daemon considers in a large fleet, by rendezvous hashing within
 * each failure domain. Each daemon has few connections, every failure domain is represented, and a
 * change of the fleet affects only the endpoints concerned.
 *
 * @example
 * ```ts
 * const selector = new SubsetSelector('entry-1');
 * const considered = selector.select(views, 128);
 * ```
 */
export class SubsetSelector {
  readonly #daemonId: string;
  #ids: string[] = [];
  #size = 0;
  #indexes: number[] = [];

  constructor(daemonId: string) {
    this.#daemonId = daemonId;
  }

  /** Views of the subset; all of them when there are at most `size`. */
  select(views: readonly EndpointView[], size: number): readonly EndpointView[] {
    if (views.length <= size) return views;
    if (!this.#isCurrent(views, size)) this.#rebuild(views, size);
    const subset: EndpointView[] = [];
    for (const index of this.#indexes) {
      const view = views[index];
      if (view) subset.push(view);
    }
    return subset;
  }

  #isCurrent(views: readonly EndpointView[], size: number): boolean {
    if (size !== this.#size || views.length !== this.#ids.length) return false;
    for (let index = 0; index < views.length; index++) {
      if (views[index]?.id !== this.#ids[index]) return false;
    }
    return true;
  }

  #rebuild(views: readonly EndpointView[], size: number): void {
    this.#ids = views.map(({ id }) => id);
    this.#size = size;
    const domains = new Map<string, { index: number; weight: number }[]>();
    for (const [index, { id, failureDomain }] of views.entries()) {
      let members = domains.get(failureDomain);
      if (!members) {
        members = [];
        domains.set(failureDomain, members);
      }
      members.push({ index, weight: hash32(`${this.#daemonId}\u0000${id}`) });
    }
    const chosen: { index: number; rank: number }[] = [];
    for (const members of domains.values()) {
      members.sort((a, b) => b.weight - a.weight);
      for (const [rank, { index }] of members.entries()) {
        chosen.push({ index, rank: (rank + 0.5) / members.length });
      }
    }
    // The order by relative rank takes the same fraction of every failure domain.
    chosen.sort((a, b) => a.rank - b.rank || a.index - b.index);
    this.#indexes = chosen
      .slice(0, size)
      .map(({ index }) => index)
      .sort((a, b) => a - b);
  }
}
