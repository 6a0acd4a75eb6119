import { z } from 'zod';
import { Outcome, RequestError, Step, WorkClass, type Clock } from '../core/index.js';
import type { Section, ServiceSettings } from '../settings/index.js';
import { callerRefusal } from './caller-refusal.js';
import { readBody } from './read-body.js';
import type { ChatCall, ChatContext, RequestContext } from './request-context.js';
import { Stage } from './stage.js';

/** Time that a caller has to send the body of a chat request. */
const bodyTimeoutMs = 30_000;

/** Fields that the gateway reads; all others are forwarded to the engine. */
const chatRequestSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
  n: z.number().int().nullish(),
  tools: z.array(z.unknown()).nullish(),
  logprobs: z.boolean().nullish(),
});

type ChatRequest = z.output<typeof chatRequestSchema>;

/** Reads and validates the body of a chat request. */
export class ParseChatStage extends Stage<ChatContext> {
  override readonly step = Step.Parse;
  readonly #clock: Clock;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override async run(context: ChatContext): Promise<void> {
    const { deployment, caller } = context;
    const body = await readBody(context.request, {
      maxBytes: deployment.limits(caller.workspace.id).max_body_bytes,
      deadlineAtMs: this.#clock.nowMs() + bodyTimeoutMs,
      clock: this.#clock,
    });
    context.call = parseChatCall(body.toString('utf8'), context);
  }
}

/**
 * Parses the JSON body of a chat request into a call to a service.
 *
 * @throws RequestError with status 400 for an invalid request, or 404 for a model that the
 * workspace may not use.
 */
export function parseChatCall(text: string, context: RequestContext): ChatCall {
  const request = decode(text);
  const service = findService(request.model, context);
  const limit = context.deployment.limits(context.caller.workspace.id).max_tokens;
  const { model, messages, stream, ...passThrough } = request;
  for (const field of ['max_tokens', 'max_completion_tokens', 'stream_options', 'n']) {
    Reflect.deleteProperty(passThrough, field);
  }
  if ((request.n ?? 1) !== 1) {
    throw badRequest('unsupported_n', 'only n = 1 is served', 'Send one request for each choice.');
  }
  return {
    service,
    model,
    messages: messages as unknown as ChatCall['messages'],
    maxTokens: Math.min(request.max_completion_tokens ?? request.max_tokens ?? limit, limit),
    isStreamed: stream ?? false,
    wantsUsage: request.stream_options?.include_usage ?? false,
    declaredClass: declaredClassOf(context.request.headers['oriolestack-class']),
    isResumable: !request.tools?.length && !request.logprobs && messages.every(isPlainText),
    passThrough,
    deadlineAtMs: deadlineOf(context, service.values),
  };
}

function decode(text: string): ChatRequest {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    throw badRequest('malformed_json', 'the body is not valid JSON', 'Send a JSON object.');
  }
  const result = chatRequestSchema.safeParse(value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  throw badRequest(
    'invalid_request',
    `${issue?.path.join('.') ?? 'body'}: ${issue?.message ?? 'not valid'}`,
    'Correct the field and send the request again.',
  );
}

function findService(model: string, context: RequestContext): Section<ServiceSettings> {
  const { team, workspace } = context.caller;
  const service = context.deployment.serviceForModel(team, model);
  if (service && workspace.values.services.includes(service.path.name)) return service;
  throw new RequestError(`model "${model}" is not served to this workspace`, {
    step: Step.Parse,
    peer: 'caller',
    status: 404,
    code: 'model_not_found',
    next: 'Choose a model from GET /v1/models.',
    outcome: Outcome.NotRun,
  });
}

function isPlainText(message: { readonly content?: unknown }): boolean {
  return typeof message.content === 'string';
}

function declaredClassOf(header: string | string[] | undefined): WorkClass | undefined {
  if (header === undefined) return undefined;
  const result = z.enum(WorkClass).safeParse(header);
  if (result.success) return result.data;
  throw badRequest(
    'invalid_class',
    'the header oriolestack-class is not a class',
    `Send one of ${Object.values(WorkClass).join(', ')}.`,
  );
}

/** Deadline requested by the caller, limited to the latest time that the service allows. */
function deadlineOf(context: RequestContext, service: ServiceSettings): number {
  const latestMs = context.receivedAtMs + service.job_timeout_ms;
  const header = context.request.headers['oriolestack-deadline'];
  if (typeof header !== 'string') return latestMs;
  const deadlineAtMs = Date.parse(header);
  if (Number.isNaN(deadlineAtMs)) {
    throw badRequest(
      'invalid_deadline',
      'the header oriolestack-deadline is not a time',
      'Send an RFC 3339 time in UTC.',
    );
  }
  return Math.min(deadlineAtMs, latestMs);
}

function badRequest(code: string, message: string, next: string): RequestError {
  return callerRefusal(Step.Parse, 400, code, message, next);
}
