import { Step, type Clock } from '../core/index.js';
import { SseChatResponder, WholeChatResponder, type ChatAnswerHead } from './chat-responder.js';
import type { GenerationRelay, GenerationResult } from './generation-relay.js';
import type { ChatContext } from './request-context.js';
import { Stage } from './stage.js';

/** Told about each completed chat request. */
export abstract class ChatAccounts {
  abstract completed(context: ChatContext, result: GenerationResult): void;
}

/** Options of {@link GenerateStage}. */
export interface GenerateStageOptions {
  readonly relay: GenerationRelay;
  readonly accounts: ChatAccounts;
  readonly clock: Clock;
}

/** Routes, dispatches and relays a chat request, then accounts for it. */
export class GenerateStage extends Stage<ChatContext> {
  override readonly step = Step.Relay;
  readonly #options: GenerateStageOptions;

  constructor(options: GenerateStageOptions) {
    super();
    this.#options = options;
  }

  override async run(context: ChatContext): Promise<void> {
    const { call, response } = context;
    const head: ChatAnswerHead = {
      requestId: context.requestId,
      model: call.model,
      createdS: Math.floor(this.#options.clock.nowMs() / 1_000),
      wantsUsage: call.wantsUsage,
    };
    const responder = call.isStreamed
      ? new SseChatResponder(response, head)
      : new WholeChatResponder(response, head);
    const result = await this.#options.relay.run(
      {
        requestId: context.requestId,
        serviceId: call.service.id,
        workspaceId: context.caller.workspace.id,
        model: call.model,
        messages: call.messages,
        maxTokens: call.maxTokens,
        workClass: context.workClass,
        deadlineAtMs: call.deadlineAtMs,
        isResumable: call.isResumable,
        passThrough: call.passThrough,
      },
      responder,
      context.disconnected,
    );
    this.#options.accounts.completed(context, result);
  }
}
