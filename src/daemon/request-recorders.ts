import type { LengthPredictor } from '../admission/index.js';
import type { HedgePolicy, RetryBudget } from '../admission/index.js';
import { Outcome, type RequestError } from '../core/index.js';
import {
  CallerServerObserver,
  ChatObserver,
  lengthKeyOf,
  ServiceCallObserver,
  type CallerRequest,
  type ChatContext,
  type GenerationResult,
  type ServiceCall,
  type TokenGapListener,
} from '../pipeline/index.js';
import type { BurnRecorder } from '../report/index.js';
import { EventId, type EventLog, type Metrics } from '../telemetry/index.js';

/** Options of {@link ChatRecorder}. */
export interface ChatRecorderOptions {
  readonly lengths: LengthPredictor;
  readonly burn: BurnRecorder;
  readonly retryBudget: RetryBudget;
  readonly hedges: HedgePolicy;
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/** Counts and logs completed chat requests, and updates length predictions and hedge delays. */
export class ChatRecorder extends ChatObserver {
  readonly #options: ChatRecorderOptions;

  constructor(options: ChatRecorderOptions) {
    super();
    this.#options = options;
  }

  override started(context: ChatContext): TokenGapListener {
    const { retryBudget, hedges, burn } = this.#options;
    const workspace = context.caller.workspace.id;
    const routing = context.deployment.routing(context.call.service.id);
    retryBudget.recordRequest(workspace, routing.retry_ratio);
    hedges.recordRequest(workspace, routing.hedge_ratio);
    const series = burn.series(workspace, context.call.service.id);
    return (gapMs, atMs) => {
      series.recordTokenGap(gapMs, atMs);
    };
  }

  override completed(context: ChatContext, result: GenerationResult, endedAtMs: number): void {
    const { lengths, burn, hedges, events, metrics } = this.#options;
    const workspace = context.caller.workspace.id;
    const service = context.call.service.id;
    const firstTokenMs = (result.firstTokenAtMs ?? endedAtMs) - context.receivedAtMs;
    const totalMs = endedAtMs - context.receivedAtMs;
    lengths.observe(lengthKeyOf(context), result.tokens);
    hedges.observeFirstToken(service, context.prediction.workClass, firstTokenMs);
    const series = burn.series(workspace, service);
    series.recordFirstToken(firstTokenMs);
    series.recordCompletion(totalMs);
    metrics.count('requests_served', 1, { workspace });
    metrics.count('tokens_relayed', result.tokens, { workspace });
    metrics.count('attempts', result.attempts, { workspace });
    metrics.timing('first_token_ms', firstTokenMs, { workspace });
    events.info(EventId.RequestServed, 'request served', {
      requestId: context.requestId,
      workspace,
      endpoint: result.endpointName,
      tokens: result.tokens,
      attempts: result.attempts,
      firstTokenMs: Math.round(firstTokenMs),
      totalMs: Math.round(totalMs),
      maxGapMs: Math.round(result.maxGapMs),
    });
  }
}

/** Records answered calls of plain services, repeatable or not. */
export class ServiceCallRecorder extends ServiceCallObserver {
  readonly #burn: BurnRecorder;

  constructor(burn: BurnRecorder) {
    super();
    this.#burn = burn;
  }

  override completed(call: ServiceCall, endedAtMs: number): void {
    const { context, service } = call;
    const totalMs = endedAtMs - context.receivedAtMs;
    this.#burn.series(context.caller.workspace.id, service.id).recordCompletion(totalMs);
  }
}

/** Whether an error counts as a refusal; errors and disconnects of callers do not. */
function countsAsRefused({ outcome, status }: RequestError): boolean {
  return outcome === Outcome.Unknown ? status !== callerGoneStatus : status >= 429;
}

/** Internal status of a request whose caller disconnected before the answer; never sent. */
const callerGoneStatus = 499;

/** Counts and logs requests that ended with an error. */
export class FailureRecorder extends CallerServerObserver {
  readonly #events: EventLog;
  readonly #metrics: Metrics;
  readonly #burn: BurnRecorder;

  constructor(events: EventLog, metrics: Metrics, burn: BurnRecorder) {
    super();
    this.#burn = burn;
    this.#events = events;
    this.#metrics = metrics;
  }

  override failed(request: CallerRequest, error: RequestError): void {
    const { requestId, attribution } = request;
    const { workspaceId, serviceId } = attribution;
    if (workspaceId !== undefined && serviceId !== undefined && countsAsRefused(error)) {
      this.#burn.series(workspaceId, serviceId).recordRefusal();
    }
    const { code, status, step, peer, message } = error;
    this.#metrics.count('requests_failed', 1, { code });
    if (error.outcome === Outcome.NotRun) {
      this.#events.info(EventId.RequestRefused, message, { requestId, code, status, step, peer });
      return;
    }
    this.#events.warn(EventId.RequestBroken, message, {
      requestId,
      code,
      status,
      step,
      peer,
      cause: error.cause instanceof Error ? error.cause.message : '',
    });
  }
}
