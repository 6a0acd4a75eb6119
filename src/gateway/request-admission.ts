import type { Clock } from '../core/index.js';
import { sharedPartsOf } from '../fleet/prompt-prefix.js';
import type { PromptGuard } from '../quarantine/prompt-guard.js';
import type { CallerExchange, AdmittedRequest } from './caller-exchange.js';
import type { CallerMemory } from './caller-memory.js';
import type { ConfigHolder } from './config-holder.js';
import {
  MissingRequestIdError,
  maxRequestTokens,
  type RequestCodec,
  type RequestDescription,
} from './request-codec.js';
import { refusal } from './refusal.js';
import type { RouteTable } from './route-table.js';
import type { ScarcityGate } from './scarcity-gate.js';
import type { TrafficRoute, TrafficWorkspace } from './traffic-config.js';
import type { WorkspaceQuotas } from './workspace-quotas.js';

/** Options of {@link RequestAdmission}. */
export interface RequestAdmissionOptions {
  readonly config: ConfigHolder;
  readonly codec: RequestCodec;
  readonly quotas: WorkspaceQuotas;
  readonly guard: PromptGuard;
  readonly memory: CallerMemory;
  /** Undefined when requests pass whatever the capacity of their service. */
  readonly scarcity?: ScarcityGate | undefined;
  readonly clock: Clock;
}

/** `retry-after` of refusals while the daemon has no configuration, in milliseconds. */
const noConfigRetryMs = 500;

/** `retry-after` of refusals while other callers take all memory, in milliseconds. */
const noRoomRetryMs = 500;

/** Reason of the refusal of a request that states too many tokens. */
export const oversizedReason = `the request states more than ${maxRequestTokens} tokens`;

/** Reads a request and decides by route, key, size and quota whether it may go to an endpoint. */
export class RequestAdmission {
  readonly #options: RequestAdmissionOptions;

  constructor(options: RequestAdmissionOptions) {
    this.#options = options;
  }

  /** @throws RequestError when the request is refused; nothing of it has run in that case. */
  async admit(exchange: CallerExchange): Promise<AdmittedRequest> {
    const { clock } = this.#options;
    const { receivedAtMs } = exchange;
    const table = this.#table();
    checkHeaderSize(exchange, table.config.limits.maxHeaderBytes);
    const description = this.#describe(exchange);
    const route = routeOf(exchange, table);
    const workspace = workspaceOf(route, description, table);
    const serviceName = table.serviceOf(route, description.requestId);
    const service = serviceName === undefined ? undefined : table.service(serviceName);
    if (!service)
      throw refusal(503, `route "${route.name}" has no service`, noConfigRetryMs + clock.nowMs());
    // Like an endpoint that has no room for it, and at once.
    if (description.isOversized) throw refusal(503, oversizedReason);
    const callerTimeoutMs = description.callerTimeoutMs ?? Infinity;
    const deadlineAtMs = receivedAtMs + Math.min(callerTimeoutMs, route.timeoutMs);
    const body = await exchange.body.read({
      maxBytes: table.config.limits.maxBodyBytes,
      memory: this.#options.memory,
      clock,
      deadlineAtMs,
      retryAtMs: () => clock.nowMs() + noRoomRetryMs,
    });
    const nowMs = clock.nowMs();
    if (deadlineAtMs <= nowMs)
      throw refusal(503, 'the deadline passed before the request could be handled');
    this.#checkPrompt(description);
    const admitted = {
      description,
      route,
      service,
      workspace,
      body,
      receivedAtMs,
      deadlineAtMs,
    };
    // Before the quota is charged, like the check of the prompt.
    if (this.#options.scarcity) await this.#options.scarcity.pass(exchange, admitted);
    if (workspace) this.#charge(workspace, route, description, clock.nowMs());
    return admitted;
  }

  #table(): RouteTable {
    const { table } = this.#options.config;
    if (table) return table;
    throw refusal(
      503,
      'no configuration is known yet',
      this.#options.clock.nowMs() + noConfigRetryMs,
    );
  }

  #describe(exchange: CallerExchange): RequestDescription {
    try {
      return this.#options.codec.describe(exchange.request.headers);
    } catch (error) {
      if (error instanceof MissingRequestIdError) throw refusal(400, error.message);
      throw error;
    }
  }

  /** Before the quota is charged, which a request that is not served must not use up. */
  #checkPrompt({ promptParts }: RequestDescription): void {
    const entry = this.#options.guard.find(sharedPartsOf(promptParts).map(({ id }) => id));
    if (!entry) return;
    const message = `endpoints crash under parts of its prompt: ${entry.partIds.join(', ')}`;
    throw refusal(503, message, entry.nextTrialAtMs);
  }

  #charge(
    workspace: TrafficWorkspace,
    route: TrafficRoute,
    description: RequestDescription,
    nowMs: number,
  ): void {
    const { quotas } = this.#options;
    const retryAtMs = quotas.tryTake(workspace, route, description, nowMs);
    if (retryAtMs === undefined) return;
    const inputs = quotas.explain(workspace, description);
    throw refusal(429, `workspace "${workspace.name}" is over its quota: ${inputs}`, retryAtMs);
  }
}

/** Counts the names and values of all headers as received. */
function checkHeaderSize({ request }: CallerExchange, maxBytes: number): void {
  const bytes = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
  if (bytes > maxBytes)
    throw refusal(431, `the headers are larger than the limit of ${maxBytes} bytes`);
}

function routeOf({ request }: CallerExchange, table: RouteTable): TrafficRoute {
  const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
  const route = table.route(request.headers.host ?? '', path);
  if (route) return route;
  throw refusal(404, `no route of configuration version ${table.config.version} matches`);
}

function workspaceOf(
  route: TrafficRoute,
  { callerKey }: RequestDescription,
  table: RouteTable,
): TrafficWorkspace | undefined {
  if (route.isPublic || !table.config.requiresKeys) return undefined;
  const workspace = callerKey === undefined ? undefined : table.workspace(callerKey);
  if (workspace) return workspace;
  throw refusal(
    401,
    `the key is missing or unknown in configuration version ${table.config.version}`,
  );
}
