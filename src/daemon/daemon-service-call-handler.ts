import {
  BackEndCaller,
  HttpBackEndCaller,
  type BackEndAnswer,
  type BackEndCallOptions,
  type BackEndRequest,
} from '../calls/index.js';
import { Outcome, RequestError, Step, WorkClass, type Clock } from '../core/index.js';
import { EngineError, EngineFailure, ServiceClient } from '../engine/index.js';
import type { EndpointNotices } from '../fleet/index.js';
import {
  AttemptEnd,
  ServiceCallHandler,
  type NonRepeatableResponse,
  type RetryScheduler,
  type ServiceCall,
} from '../pipeline/index.js';
import type { Deployment } from '../settings/index.js';
import type { CallsService, RoutedCall } from './calls-service.js';
import type { RoutedLease, RoutedSelector } from './routed-selector.js';

/** Options of {@link DaemonServiceCallHandler}. */
export interface DaemonServiceCallHandlerOptions {
  readonly calls: () => CallsService;
  readonly selector: RoutedSelector;
  readonly notices: EndpointNotices;
  readonly retries: RetryScheduler;
  readonly deployment: () => Deployment;
  readonly clock: Clock;
}

const statusTimeoutMs = 5_000;

/** Headers of a non-repeatable call that are forwarded to the service. */
const forwardedHeaderNames = ['content-type', 'accept', 'accept-language'] as const;

/** Relays repeatable calls of plain services, and runs others at most once on their shard. */
export class DaemonServiceCallHandler extends ServiceCallHandler {
  readonly #options: DaemonServiceCallHandlerOptions;
  readonly #client = new ServiceClient();

  constructor(options: DaemonServiceCallHandlerOptions) {
    super();
    this.#options = options;
  }

  override async relay(call: ServiceCall): Promise<void> {
    const { context, service, path } = call;
    const excludedIds = new Set<string>();
    for (let attempts = 1; ; attempts++) {
      const lease = this.#lease(call, excludedIds);
      try {
        await this.#client.relay(context.request, context.response, {
          name: lease.endpointName,
          baseUrl: lease.view.baseUrl,
          path,
          requestId: context.requestId,
          timeoutMs: service.values.call_timeout_ms,
          signal: context.disconnectSignal,
          onNotice: (notice) => {
            this.#options.notices.apply(lease.endpointId, notice);
          },
        });
        lease.end(AttemptEnd.Completed);
        return;
      } catch (error) {
        if (!(error instanceof EngineError)) throw error;
        lease.end(attemptEndOf(error));
        excludedIds.add(lease.endpointId);
        await this.#prepareRetry(call, error, attempts);
      }
    }
  }

  override async runOnce(
    call: ServiceCall,
    key: string,
    body: Uint8Array,
  ): Promise<NonRepeatableResponse> {
    const { context, service, path, deadlineAtMs } = call;
    const headers: Record<string, string> = { 'idempotency-key': key };
    for (const name of forwardedHeaderNames) {
      const value = context.request.headers[name];
      if (value !== undefined) headers[name] = value;
    }
    const answer = await this.#options.calls().execute({
      workspace: context.caller.workspace.id,
      service: service.id,
      idempotencyKey: key,
      method: context.request.method ?? 'POST',
      path,
      headers,
      bodyBase64: Buffer.from(body).toString('base64'),
      deadlineAtMs,
      rememberMs: service.values.remember_ms,
      fingerprintMs: service.values.fingerprint_ms,
    });
    return { ...answer, body: Buffer.from(answer.bodyBase64, 'base64') };
  }

  /** A caller that chooses the endpoint when the call is sent, after its claim is accepted. */
  backEndFor(call: RoutedCall): BackEndCaller {
    const { selector, clock } = this.#options;
    return new RoutedBackEnd(() => {
      const lease = selector.tryLease({
        requestId: call.idempotencyKey,
        serviceId: call.service,
        workspaceId: call.workspace,
        deadlineAtMs: call.deadlineAtMs,
        excludedIds: new Set(),
        isRepeatable: false,
        ...plainCallQuery,
      });
      if (!lease) return undefined;
      const { name, baseUrl } = lease.view;
      return { lease, caller: new HttpBackEndCaller({ name, baseUrl, clock }) };
    });
  }

  /** Queries the service's status route, if it has one, for the key of a call. */
  async queryStatus(call: RoutedCall): Promise<BackEndAnswer | undefined> {
    const { selector, deployment } = this.#options;
    const route = deployment().services.get(call.service)?.values.status_route ?? '';
    if (route === '') return undefined;
    const lease = selector.tryLease({
      requestId: call.idempotencyKey,
      serviceId: call.service,
      workspaceId: call.workspace,
      deadlineAtMs: call.deadlineAtMs,
      excludedIds: new Set(),
      isRepeatable: true,
      ...plainCallQuery,
    });
    if (!lease) return undefined;
    const path = route.replaceAll('{key}', encodeURIComponent(call.idempotencyKey));
    try {
      const answer = await this.#client.get(lease.view.baseUrl, path, statusTimeoutMs);
      lease.end(AttemptEnd.Completed);
      return answer.status === 200 ? answer : undefined;
    } catch {
      lease.end(AttemptEnd.Broken);
      return undefined;
    }
  }

  async close(): Promise<void> {
    await this.#client.close();
  }

  #lease(call: ServiceCall, excludedIds: ReadonlySet<string>): RoutedLease {
    const { context, service, deadlineAtMs } = call;
    const lease = this.#options.selector.tryLease({
      requestId: context.requestId,
      serviceId: service.id,
      workspaceId: context.caller.workspace.id,
      deadlineAtMs,
      excludedIds,
      isRepeatable: true,
      ...plainCallQuery,
    });
    if (lease) return lease;
    throw new RequestError(`no endpoint of ${service.id} can take the call`, {
      step: Step.Route,
      peer: service.id,
      status: 503,
      code: 'no_endpoint',
      next: 'Send the call again later.',
      outcome: excludedIds.size === 0 ? Outcome.NotRun : Outcome.Unknown,
      retryAtMs: this.#options.clock.nowMs() + 2_000,
    });
  }

  /** Waits for the next attempt. @throws RequestError when the call may not be sent again. */
  async #prepareRetry(call: ServiceCall, error: EngineError, attempts: number): Promise<void> {
    const { context, service, deadlineAtMs } = call;
    const { retries, clock } = this.#options;
    const method = context.request.method ?? 'GET';
    // A streamed body cannot be read twice, so only calls without one can be sent again.
    const canResend = method === 'GET' || method === 'HEAD';
    const retryAtMs = canResend
      ? retries.nextAttemptAtMs(
          { workspaceId: context.caller.workspace.id, serviceId: service.id, deadlineAtMs },
          attempts,
        )
      : undefined;
    if (retryAtMs !== undefined && !context.disconnectSignal.aborted) {
      await clock.sleepUntil(retryAtMs, context.disconnectSignal);
      return;
    }
    const isNotRun = error.outcome === Outcome.NotRun && attempts === 1;
    throw new RequestError(error.message, {
      step: Step.Dispatch,
      peer: error.peer,
      status: 502,
      code: 'service_unreachable',
      next: 'Send the call again if it may be repeated.',
      outcome: isNotRun ? Outcome.NotRun : Outcome.Unknown,
      retryAtMs: clock.nowMs() + 1_000,
      cause: error,
    });
  }
}

/** Routing inputs of a plain call, which has no tokens. */
const plainCallQuery = {
  model: '',
  maxTokens: 1,
  expectedOutputTokens: 1,
  promptTokens: 0,
  prefix: [],
  workClass: WorkClass.Short,
} as const;

interface RoutedCaller {
  readonly lease: RoutedLease;
  readonly caller: BackEndCaller;
}

/** Routes when the call is sent, so that the choice is not older than the claim. @internal */
class RoutedBackEnd extends BackEndCaller {
  readonly #route: () => RoutedCaller | undefined;

  constructor(route: () => RoutedCaller | undefined) {
    super();
    this.#route = route;
  }

  override async call(
    request: BackEndRequest,
    options: BackEndCallOptions,
  ): Promise<BackEndAnswer> {
    const routed = this.#route();
    if (!routed) throw new Error('no endpoint can take the call');
    try {
      const answer = await routed.caller.call(request, options);
      routed.lease.end(AttemptEnd.Completed);
      return answer;
    } catch (error) {
      routed.lease.end(AttemptEnd.Broken);
      throw error;
    }
  }
}

function attemptEndOf(error: EngineError): AttemptEnd {
  return error.failure === EngineFailure.ConnectionFailed
    ? AttemptEnd.ConnectionFailed
    : AttemptEnd.Broken;
}
