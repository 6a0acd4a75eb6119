import type { Step } from '../core/index.js';

/**
 * One stage of a request's way through the daemon. A stage reads and extends the context; it ends
 * the request by throwing a RequestError.
 *
 * @example
 * ```ts
 * class LogStage extends Stage<ChatContext> {
 *   override readonly step = Step.Account;
 *   override run(context: ChatContext): Promise<void> { ... }
 * }
 * ```
 */
export abstract class Stage<C> {
  /** Step named in errors and explanations. */
  abstract readonly step: Step;

  /** Whether the stage has something to do for this request. */
  appliesTo(context: C): boolean {
    return context !== undefined;
  }

  abstract run(context: C): Promise<void>;
}

/** Stages in their fixed order. */
export class Pipeline<C> {
  readonly #stages: readonly Stage<C>[];

  constructor(stages: readonly Stage<C>[]) {
    this.#stages = stages;
  }

  /** Passes the context through every stage. @throws RequestError of the stage that ended it. */
  async run(context: C): Promise<void> {
    for (const stage of this.#stages) {
      if (stage.appliesTo(context)) await stage.run(context);
    }
  }
}
