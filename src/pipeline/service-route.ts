import { Outcome, RequestError, Step, type Clock } from '../core/index.js';
import { ServiceKind, type Section, type ServiceSettings } from '../settings/index.js';
import type { AuthenticateStage } from './authenticate-stage.js';
import { CallerRoute, type CallerRequest } from './caller-server.js';
import { readBody } from './read-body.js';
import { RequestContext } from './request-context.js';

/** A call of a plain service. */
export interface ServiceCall {
  readonly context: RequestContext;
  readonly service: Section<ServiceSettings>;
  /** Path and query at the service. */
  readonly path: string;
  /** Epoch milliseconds. */
  readonly deadlineAtMs: number;
}

/** Answer to a non-repeatable call. */
export interface NonRepeatableAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly isReplayed: boolean;
  readonly isRecorded: boolean;
}

/** Calls of plain services as the pipeline needs them. */
export abstract class ServiceDesk {
  /** Passes a repeatable call through. @throws RequestError before the answer's head was sent. */
  abstract relay(call: ServiceCall): Promise<void>;

  /** Runs a non-repeatable call at most once. @throws RequestError saying whether it may have run. */
  abstract runOnce(call: ServiceCall, key: string, body: Uint8Array): Promise<NonRepeatableAnswer>;
}

/** Options of {@link ServiceRoute}. */
export interface ServiceRouteOptions {
  readonly authenticate: AuthenticateStage;
  readonly desk: ServiceDesk;
  readonly clock: Clock;
}

const pathPattern = /^\/services\/([^/]+)(\/.*)?$/;
const bodyTimeoutMs = 30_000;
/** The body of a non-repeatable call travels to the home of its key's shard in one message. */
const maxOnceBodyBytes = 1_048_576;
const maxKeyLength = 255;

/** `/services/{service}/...`: plain services, streamed through or run at most once. */
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
    const call = this.#call(context, incoming);
    if (isNonRepeatable(call)) await this.#runOnce(call);
    else await this.#options.desk.relay(call);
  }

  #call(context: RequestContext, incoming: CallerRequest): ServiceCall {
    const name = decodeURIComponent(pathPattern.exec(incoming.path)?.[1] ?? '');
    const { team, workspace } = context.caller;
    const service = incoming.deployment.services.get(`${team}/${name}`);
    const isServed =
      service?.values.kind === ServiceKind.Plain && workspace.values.services.includes(name);
    if (!service || !isServed) {
      throw refusal(404, 'unknown_service', `service "${name}" is not served to this workspace`, {
        next: 'Check the name of the service with the operators.',
      });
    }
    const url = incoming.request.url ?? '';
    const path = url.slice(url.indexOf('/', '/services/'.length + 1));
    return {
      context,
      service,
      path: path.startsWith('/services/') ? '/' : path,
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
      maxBytes: maxOnceBodyBytes,
      deadlineAtMs: this.#options.clock.nowMs() + bodyTimeoutMs,
      clock: this.#options.clock,
    });
    const answer = await this.#options.desk.runOnce(call, key, body);
    context.response.writeHead(answer.status, {
      ...answer.headers,
      'x-request-id': context.requestId,
      ...(answer.isReplayed ? { 'oriolestack-replayed': 'true' } : {}),
      ...(answer.isRecorded ? {} : { 'oriolestack-recorded': 'false' }),
      ...(answer.status >= 400 ? { 'oriolestack-outcome': Outcome.Unknown } : {}),
    });
    context.response.end(answer.body);
  }
}

/** Whether the service's settings list the call's route as non-repeatable. */
export function isNonRepeatable({ context, service, path }: ServiceCall): boolean {
  const method = context.request.method ?? '';
  // Settings name decoded paths; an encoded or doubled slash must not slip past them.
  const plainPath = normalizedPath(path);
  return service.values.non_repeatable_routes.some((route) => {
    const [routeMethod, prefix = '/'] = route.split(/\s+/, 2);
    if (routeMethod !== method) return false;
    return (
      plainPath === prefix || plainPath.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
    );
  });
}

function normalizedPath(path: string): string {
  const { pathname } = new URL(path.replace(/^\/+/, '/'), 'http://service');
  try {
    return decodeURIComponent(pathname).replace(/\/{2,}/g, '/');
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
  return new RequestError(message, {
    step: Step.Parse,
    peer: 'caller',
    status,
    code,
    next: detail.next,
    outcome: Outcome.NotRun,
  });
}
