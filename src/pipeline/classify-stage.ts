import { Step, WorkClass } from '../core/index.js';
import type { ChatContext } from './request-context.js';
import { Stage } from './stage.js';

/** Predicts the class of a request that declares none. */
export abstract class ClassPredictor {
  abstract predict(context: ChatContext): WorkClass;
}

/** Decides the class of a request: declared, else bounded by its token limit, else predicted. */
export class ClassifyStage extends Stage<ChatContext> {
  override readonly step = Step.Classify;
  readonly #predictor: ClassPredictor;

  constructor(predictor: ClassPredictor) {
    super();
    this.#predictor = predictor;
  }

  override run(context: ChatContext): Promise<void> {
    context.workClass = context.call.declaredClass ?? this.#predictor.predict(context);
    return Promise.resolve();
  }
}
