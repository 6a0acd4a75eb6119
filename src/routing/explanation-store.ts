import type { Explanation } from './explanation.js';

/**
 * Ring buffer of a daemon's newest explanations.
 *
 * @example
 * ```ts
 * const store = new ExplanationStore(1_000);
 * store.add(decision.explanation);
 * store.find('request-7').at(-1)?.toJSON();
 * ```
 */
export class ExplanationStore {
  readonly #capacity: number;
  readonly #ring: Explanation[] = [];
  #next = 0;

  /** @param capacity - maximum explanations; each references all views of its decision. */
  constructor(capacity = 1_000) {
    this.#capacity = Math.max(1, capacity);
  }

  add(explanation: Explanation): void {
    this.#ring[this.#next] = explanation;
    this.#next = (this.#next + 1) % this.#capacity;
  }

  /** Explanations of a request, one for each attempt that is still stored, oldest first. */
  find(requestId: string): Explanation[] {
    return this.latest(this.#capacity)
      .filter((explanation) => explanation.requestId === requestId)
      .reverse();
  }

  /** The newest explanations, newest first. */
  latest(count: number): Explanation[] {
    const size = this.#ring.length;
    const found: Explanation[] = [];
    for (let back = 1; back <= Math.min(count, size); back++) {
      const explanation = this.#ring[(this.#next - back + size * 2) % size];
      if (explanation) found.push(explanation);
    }
    return found;
  }
}
