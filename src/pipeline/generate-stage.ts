import { RequestError, Step, type Clock } from '../core/index.js';
import { SseChatResponder, WholeChatResponder, type ChatAnswerHead } from './chat-responder.js';
import type { GenerationRelay, GenerationResult } from './generation-relay.js';
import type { ChatContext } from './request-context.js';
import { Stage } from './stage.js';

/** Told about each chat request from its parse on. */
export abstract class ChatAccounts {
  /** The request is about to be routed. */
  abstract started(context: ChatContext): void;
  /** @param endedAtMs - epoch milliseconds of the last token. */
  abstract completed(context: ChatContext, result: GenerationResult, endedAtMs: number): void;
  /** The request ended with an error after it was parsed. */
  abstract refused(context: ChatContext, error: RequestError): void;
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
    const { accounts, clock } = this.#options;
    accounts.started(context);
    try {
      const result = await this.#relay(context);
      accounts.completed(context, result, clock.nowMs());
    } catch (error) {
      if (error instanceof RequestError) accounts.refused(context, error);
      throw error;
    }
  }

  #relay(context: ChatContext): Promise<GenerationResult> {
    const { call, response, prediction } = context;
    const head: ChatAnswerHead = {
      requestId: context.requestId,
      model: call.model,
      createdS: Math.floor(this.#options.clock.nowMs() / 1_000),
      wantsUsage: call.wantsUsage,
    };
    const responder = call.isStreamed
      ? new SseChatResponder(response, head)
      : new WholeChatResponder(response, head);
    return this.#options.relay.run(
      {
        requestId: context.requestId,
        serviceId: call.service.id,
        workspaceId: context.caller.workspace.id,
        model: call.model,
        messages: call.messages,
        maxTokens: call.maxTokens,
        expectedOutputTokens: prediction.expectedOutputTokens,
        workClass: prediction.workClass,
        deadlineAtMs: call.deadlineAtMs,
        isResumable: call.isResumable,
        passThrough: call.passThrough,
      },
      responder,
      context.disconnected,
    );
  }
}
