import type { Step } from '../core/index.js';

/**
 * One stage of request processing. A stage reads and extends the context. It ends the request by
 * throwing a RequestError.
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
  /** Step reported in errors and explanations. */
  abstract readonly step: Step;

  /** Whether the stage runs for this request. */
  appliesTo(context: C): boolean {
    return context !== undefined;
  }

  abstract run(context: C): Promise<void>;
}

/** Runs stages in a fixed order. */
export class Pipeline<C> {
  readonly #stages: readonly Stage<C>[];

  constructor(stages: readonly Stage<C>[]) {
    this.#stages = stages;
  }

  /**
   * Runs every stage that applies to the context.
   *
   * @throws RequestError of the stage that ended the request.
   */
  async run(context: C): Promise<void> {
    for (const stage of this.#stages) {
      if (stage.appliesTo(context)) await stage.run(context);
    }
  }
}
