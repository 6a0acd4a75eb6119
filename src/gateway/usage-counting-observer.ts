import type { UsageCounter } from '../capacity/usage-counter.js';
import type { AdmittedRequest } from './caller-exchange.js';
import { UsageObserver } from './request-relay.js';

/** Counts the started requests of each workspace. */
export class UsageCountingObserver extends UsageObserver {
  readonly #counter: UsageCounter;

  constructor(counter: UsageCounter) {
    super();
    this.#counter = counter;
  }

  override began({ workspace }: AdmittedRequest, atMs: number): void {
    if (workspace) this.#counter.count(workspace.name, atMs);
  }
}
