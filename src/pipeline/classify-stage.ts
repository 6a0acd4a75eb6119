import {
  mediumOutputTokens,
  shortOutputTokens,
  type LengthKey,
  type LengthPredictor,
} from '../admission/index.js';
import { Step, WorkClass } from '../core/index.js';
import type { ChatContext } from './request-context.js';
import { Stage } from './stage.js';

/** Output length assumed for a request whose declared class differs from the predicted one. */
const assumedOutputTokens: Readonly<Record<WorkClass, number>> = {
  [WorkClass.Short]: shortOutputTokens,
  [WorkClass.Medium]: mediumOutputTokens,
  [WorkClass.Long]: 4 * mediumOutputTokens,
};

/** Sets the work class of a request: declared by the caller, else learned, else the default. */
export class ClassifyStage extends Stage<ChatContext> {
  override readonly step = Step.Classify;
  readonly #lengthPredictor: LengthPredictor;

  constructor(lengthPredictor: LengthPredictor) {
    super();
    this.#lengthPredictor = lengthPredictor;
  }

  override run(context: ChatContext): Promise<void> {
    const { call, caller } = context;
    const predicted = this.#lengthPredictor.predict(lengthKeyOf(context), {
      maxTokens: call.maxTokens,
      defaultClass: caller.workspace.values.default_class,
    });
    const declared = call.declaredClass;
    context.prediction =
      declared === undefined || declared === predicted.workClass
        ? predicted
        : {
            workClass: declared,
            expectedOutputTokens: Math.min(call.maxTokens, assumedOutputTokens[declared]),
            isLearned: false,
          };
    return Promise.resolve();
  }
}

/** Key by which answer lengths are learned: workspace, service and system prompt. */
export function lengthKeyOf(context: ChatContext): LengthKey {
  const [first] = context.call.messages;
  return {
    workspaceId: context.caller.workspace.id,
    serviceId: context.call.service.id,
    // The content may be a list of parts; its JSON text distinguishes system prompts.
    workloadKey: first?.role === 'system' ? JSON.stringify(first.content).slice(0, 64) : '',
  };
}
