import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Section, ServiceSettings, WorkspaceSettings, Deployment } from '../settings/index.js';
import type { RequestAttribution } from './caller-server.js';
import type { ChatMessage } from '../engine/index.js';
import type { WorkClass } from '../core/index.js';
import type { LengthPrediction } from '../admission/index.js';

/** Options of {@link RequestContext}. */
export interface RequestContextOptions {
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Epoch milliseconds. */
  readonly receivedAtMs: number;
  /** Settings in force when the request was received; they do not change until it ends. */
  readonly deployment: Deployment;
  readonly attribution: RequestAttribution;
}

/** An authenticated caller. */
export interface Caller {
  readonly team: string;
  readonly workspace: Section<WorkspaceSettings>;
}

/**
 * State of a caller's request, extended by each stage.
 *
 * @example
 * ```ts
 * const context = new RequestContext({ requestId, request, response, ...rest });
 * ```
 */
export class RequestContext {
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly receivedAtMs: number;
  readonly deployment: Deployment;
  readonly attribution: RequestAttribution;
  readonly #disconnectController = new AbortController();
  #caller: Caller | undefined;

  constructor(options: RequestContextOptions) {
    this.requestId = options.requestId;
    this.request = options.request;
    this.response = options.response;
    this.receivedAtMs = options.receivedAtMs;
    this.deployment = options.deployment;
    this.attribution = options.attribution;
    options.response.on('close', () => {
      if (!options.response.writableFinished) this.#disconnectController.abort();
    });
  }

  /** Aborted when the caller disconnects before the complete response was sent. */
  get disconnectSignal(): AbortSignal {
    return this.#disconnectController.signal;
  }

  /** The authenticated caller. @throws Error before the authenticate stage. */
  get caller(): Caller {
    if (!this.#caller) throw new Error('the request has not passed the authenticate stage');
    return this.#caller;
  }

  set caller(caller: Caller) {
    this.#caller = caller;
    this.attribution.workspaceId = caller.workspace.id;
  }
}

/** A chat request after the parse stage. */
export interface ChatCall {
  readonly service: Section<ServiceSettings>;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  /** Whether the caller asked for server-sent events. */
  readonly isStreamed: boolean;
  readonly wantsUsage: boolean;
  /** Work class declared by the caller, if any. */
  readonly declaredClass: WorkClass | undefined;
  /** Whether another engine can continue an interrupted answer as plain text. */
  readonly isResumable: boolean;
  readonly passThrough: Readonly<Record<string, unknown>>;
  /** Time by which the answer should be complete, in epoch milliseconds. */
  readonly deadlineAtMs: number;
}

/** Context of `POST /v1/chat/completions`. */
export class ChatContext extends RequestContext {
  #call: ChatCall | undefined;
  #prediction: LengthPrediction | undefined;

  /** The parsed request. @throws Error before the parse stage. */
  get call(): ChatCall {
    if (!this.#call) throw new Error('the request has not passed the parse stage');
    return this.#call;
  }

  set call(call: ChatCall) {
    this.#call = call;
    this.attribution.serviceId = call.service.id;
  }

  /** Expected length and class. @throws Error before the classify stage. */
  get prediction(): LengthPrediction {
    if (!this.#prediction) throw new Error('the request has not passed the classify stage');
    return this.#prediction;
  }

  set prediction(prediction: LengthPrediction) {
    this.#prediction = prediction;
  }
}
