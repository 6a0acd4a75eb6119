import type { AdmissionController } from '../admission/index.js';
import { Step, type Clock } from '../core/index.js';
import { admitRequest, type AdmissionDetails } from './admit-request.js';
import { estimatePromptTokens } from './prompt-tokens.js';
import type { ChatContext } from './request-context.js';
import { Stage } from './stage.js';

/** Options of {@link AdmitStage}. */
export interface AdmitStageOptions {
  readonly admission: AdmissionController;
  readonly clock: Clock;
  /** Price of a thousand tokens of a service in USD, for the spend limit. */
  readonly usdPerThousandTokens: (serviceId: string) => number;
}

/** Cost of a prompt token to an engine, relative to a generated token. */
const promptTokenCostRatio = 0.1;

/** Admits a chat request within the limits of its workspace, or refuses it before it runs. */
export class AdmitStage extends Stage<ChatContext> {
  override readonly step = Step.Admit;
  readonly #options: AdmitStageOptions;

  constructor(options: AdmitStageOptions) {
    super();
    this.#options = options;
  }

  override async run(context: ChatContext): Promise<void> {
    await admitRequest(this.#options.admission, context, this.#admissionDetails(context));
  }

  #admissionDetails(context: ChatContext): AdmissionDetails {
    const { call, prediction } = context;
    const promptCost = Math.ceil(estimatePromptTokens(call.messages) * promptTokenCostRatio);
    const costTokens = promptCost + prediction.expectedOutputTokens;
    const usdPerToken = this.#options.usdPerThousandTokens(call.service.id) / 1_000;
    return {
      serviceId: call.service.id,
      workClass: prediction.workClass,
      costTokens,
      expectedUsd: costTokens * usdPerToken,
      startByMs: this.#startByMs(context),
    };
  }

  /**
   * Latest start within the queue limit that leaves the expected generation time before the
   * deadline.
   */
  #startByMs(context: ChatContext): number {
    const { call, prediction } = context;
    const gapMs = call.service.values.objective_between_tokens_ms;
    const answerMs = prediction.expectedOutputTokens * gapMs;
    const queueUntilMs =
      context.receivedAtMs + context.deployment.routing(call.service.id).queue_ms;
    const latestMs = Math.min(queueUntilMs, call.deadlineAtMs - answerMs);
    return Math.max(this.#options.clock.nowMs(), latestMs);
  }
}
