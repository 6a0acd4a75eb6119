import { posix } from 'node:path';
import type { AdmissionController } from '../admission/index.js';
import { Outcome, RequestError, Step, WorkClass, type Clock } from '../core/index.js';
import { ServiceKind, type Section, type ServiceSettings } from '../settings/index.js';
import { callerRefusal } from './caller-refusal.js';
import type { AuthenticateStage } from './authenticate-stage.js';
import { admitRequest } from './admit-request.js';
import { CallerRoute, type CallerRequest } from './caller-server.js';
import { readBody } from './read-body.js';
import { RequestContext } from './request-context.js';

/** A call to a plain service. */
export interface ServiceCall {
  readonly context: RequestContext;
  readonly service: Section<ServiceSettings>;
  /** Path and query sent to the service. */
  readonly path: string;
  /** Epoch milliseconds. */
  readonly deadlineAtMs: number;
}

/** Response to a non-repeatable call. */
export interface NonRepeatableResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly isReplayed: boolean;
  readonly isRecorded: boolean;
}

/** Executes calls to plain services. */
export abstract class ServiceCallHandler {
  /**
   * Forwards a repeatable call.
   *
   * @throws RequestError when the call fails before the response head is sent.
   */
  abstract relay(call: ServiceCall): Promise<void>;

  /**
   * Runs a non-repeatable call at most once.
   *
   * @param key - the caller's idempotency key.
   * @throws RequestError whose outcome says whether the call may have run.
   */
  abstract runOnce(
    call: ServiceCall,
    key: string,
    body: Uint8Array,
  ): Promise<NonRepeatableResponse>;
}

/** Observes completed calls to plain services. */
export abstract class ServiceCallObserver {
  /** @param endedAtMs - time at which the response was written in full, in epoch milliseconds. */
  abstract completed(call: ServiceCall, endedAtMs: number): void;
}

/** Options of {@link ServiceRoute}. */
export interface ServiceRouteOptions {
  readonly authenticate: AuthenticateStage;
  readonly admission: AdmissionController;
  readonly handler: ServiceCallHandler;
  readonly observer: ServiceCallObserver;
  readonly clock: Clock;
}

const pathPattern = /^\/services\/([^/]+)(\/.*)?$/;
const bodyTimeoutMs = 30_000;
/** The body of a non-repeatable call is sent in one message to the owner of its key's shard. */
const maxNonRepeatableBodyBytes = 1_048_576;
const maxKeyLength = 255;

/** `/services/{service}/...`: calls to plain services, streamed through or run at most once. */
export class ServiceRoute extends CallerRoute {
  readonly #options: ServiceRouteOptions;

  constructor(options: ServiceRouteOptions) {
    super();
    this.#options = options;
  }

  override matches(_method: string, path: string): boolean {
    return pathPattern.test(path);
  }

  override async handle(incoming: CallerRequest): Promise<void> {
    const context = new RequestContext(incoming);
    await this.#options.authenticate.run(context);
    const call = this.#resolveCall(context, incoming);
    await this.#admit(call);
    if (isNonRepeatable(call)) await this.#runOnce(call);
    else await this.#options.handler.relay(call);
    // A response that failed after its head was sent is destroyed, not ended.
    if (context.response.writableEnded) {
      this.#options.observer.completed(call, this.#options.clock.nowMs());
    }
  }

  /** Enforces the workspace's limits before any byte of the call is sent. */
  #admit({ context, service, deadlineAtMs }: ServiceCall): Promise<void> {
    const queueUntilMs = context.receivedAtMs + context.deployment.routing(service.id).queue_ms;
    return admitRequest(this.#options.admission, context, {
      serviceId: service.id,
      workClass: WorkClass.Short,
      costTokens: 1,
      expectedUsd: 0,
      startByMs: Math.min(queueUntilMs, deadlineAtMs),
    });
  }

  #resolveCall(context: RequestContext, incoming: CallerRequest): ServiceCall {
    const encodedName = pathPattern.exec(incoming.path)?.[1] ?? '';
    const name = decodePath(encodedName);
    const { team, workspace } = context.caller;
    const service = incoming.deployment.services.get(`${team}/${name}`);
    const isServed =
      service?.values.kind === ServiceKind.Plain && workspace.values.services.includes(name);
    if (!service || !isServed) {
      throw refusal(404, 'unknown_service', `service "${name}" is not served to this workspace`, {
        next: 'Check the name of the service with the operators.',
      });
    }
    context.attribution.serviceId = service.id;
    const servicePath = (incoming.request.url ?? '').slice(
      '/services/'.length + encodedName.length,
    );
    return {
      context,
      service,
      path: servicePath.startsWith('/') ? servicePath : `/${servicePath}`,
      deadlineAtMs: context.receivedAtMs + service.values.call_timeout_ms,
    };
  }

  async #runOnce(call: ServiceCall): Promise<void> {
    const { context } = call;
    const key = context.request.headers['idempotency-key'];
    if (typeof key !== 'string' || key === '' || key.length > maxKeyLength) {
      throw refusal(400, 'idempotency_key_missing', 'this call must not be repeated', {
        next: `Send an Idempotency-Key of at most ${maxKeyLength} characters, such as a UUIDv7.`,
      });
    }
    const body = await readBody(context.request, {
      maxBytes: maxNonRepeatableBodyBytes,
      deadlineAtMs: this.#options.clock.nowMs() + bodyTimeoutMs,
      clock: this.#options.clock,
    });
    const serviceResponse = await this.#options.handler.runOnce(call, key, body);
    context.response.writeHead(serviceResponse.status, {
      ...serviceResponse.headers,
      'x-request-id': context.requestId,
      ...(serviceResponse.isReplayed ? { 'oriolestack-replayed': 'true' } : {}),
      ...(serviceResponse.isRecorded ? {} : { 'oriolestack-recorded': 'false' }),
      ...(serviceResponse.status >= 400 ? { 'oriolestack-outcome': Outcome.Unknown } : {}),
    });
    context.response.end(serviceResponse.body);
  }
}

/**
 * Whether the service's settings list the call's route as non-repeatable. Services differ in how
 * they interpret a path, so any spelling that a service may resolve to a listed route matches it.
 */
export function isNonRepeatable({ context, service, path }: ServiceCall): boolean {
  const method = context.request.method ?? '';
  const normalizedPath = normalizePath(path);
  return service.values.non_repeatable_routes.some((route) => {
    const [routeMethod, prefix = '/'] = route.split(/\s+/, 2);
    if (routeMethod !== method) return false;
    const normalizedPrefix = normalizePath(prefix).replace(/\/$/, '');
    return normalizedPath === normalizedPrefix || normalizedPath.startsWith(`${normalizedPrefix}/`);
  });
}

/**
 * Path in lower case without query, percent-encoding, path parameters, doubled slashes and dot
 * segments.
 */
function normalizePath(path: string): string {
  let normalized = path.split(/[?#]/, 1)[0] ?? '';
  // Each proxy in front of the service may decode once more; four rounds cover any such chain.
  for (let round = 0; round < 4 && normalized.includes('%'); round++)
    normalized = decodePath(normalized);
  return posix
    .normalize(`/${normalized.replaceAll('\\', '/').replace(/;[^/]*/g, '')}`)
    .toLowerCase();
}

function decodePath(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    throw refusal(400, 'malformed_path', 'the path is not valid percent-encoding', {
      next: 'Encode the path and send the request again.',
    });
  }
}

function refusal(
  status: number,
  code: string,
  message: string,
  detail: { readonly next: string },
): RequestError {
  return callerRefusal(Step.Parse, status, code, message, detail.next);
}
