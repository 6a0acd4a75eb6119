import { Step, type Clock } from '../core/index.js';
import {
  SseChatResponder,
  JsonChatResponder,
  type ChatResponseMetadata,
} from './chat-responder.js';
import type { GenerationRelay, GenerationResult, TokenGapListener } from './generation-relay.js';
import type { ChatContext } from './request-context.js';
import { Stage } from './stage.js';

/** Observes chat requests that reach the generate stage. */
export abstract class ChatObserver {
  /**
   * Called before the request is routed.
   *
   * @returns a listener for the gaps between tokens.
   */
  abstract started(context: ChatContext): TokenGapListener;
  /**
   * Called after the generation was relayed in full.
   *
   * @param endedAtMs - time at which the relay finished, in epoch milliseconds.
   */
  abstract completed(context: ChatContext, result: GenerationResult, endedAtMs: number): void;
}

/** Options of {@link GenerateStage}. */
export interface GenerateStageOptions {
  readonly relay: GenerationRelay;
  readonly observer: ChatObserver;
  readonly clock: Clock;
}

/** Routes, dispatches and relays a chat request, and reports the result to the observer. */
export class GenerateStage extends Stage<ChatContext> {
  override readonly step = Step.Relay;
  readonly #options: GenerateStageOptions;

  constructor(options: GenerateStageOptions) {
    super();
    this.#options = options;
  }

  override async run(context: ChatContext): Promise<void> {
    const { observer, clock } = this.#options;
    const onTokenGap = observer.started(context);
    const result = await this.#relay(context, onTokenGap);
    observer.completed(context, result, clock.nowMs());
  }

  #relay(context: ChatContext, onTokenGap: TokenGapListener): Promise<GenerationResult> {
    const { call, response, prediction } = context;
    const metadata: ChatResponseMetadata = {
      requestId: context.requestId,
      model: call.model,
      createdS: Math.floor(this.#options.clock.nowMs() / 1_000),
      wantsUsage: call.wantsUsage,
    };
    const responder = call.isStreamed
      ? new SseChatResponder(response, metadata)
      : new JsonChatResponder(response, metadata);
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
        onTokenGap,
      },
      responder,
      context.disconnectSignal,
    );
  }
}
