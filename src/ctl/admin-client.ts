import { readFileSync } from 'node:fs';
import { Agent } from 'undici';
import { z } from 'zod';
import { requireFramed } from '../core/response-framing.js';
import { sendRequest } from '../core/send-request.js';
import {
  AdminQuery,
  gatheredSchema,
  queryAnswers,
  workItemSchema,
  type Gathered,
  type QueryAnswer,
  type QueryParams,
  type WorkItem,
} from '../admin-api/index.js';
import { CtlError } from './ctl-error.js';
import { ExitCode } from './exit-code.js';

/** Answer of the administration API before its format is checked. */
export interface TransportAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Carries requests to the administration API of one daemon. */
export abstract class AdminTransport {
  /** @throws CtlError (unreachable, or outcome unknown for a change) when no answer came. */
  abstract send(method: 'GET' | 'POST', path: string, body?: unknown): Promise<TransportAnswer>;
}

/** Options of {@link HttpAdminTransport}. */
export interface HttpAdminTransportOptions {
  /** Base URL such as `https://entry-1:7443`. */
  readonly baseUrl: string;
  /** Operator's key in its text form. */
  readonly bearer: string;
  /** PEM file of the authority that signed the daemon's certificate. */
  readonly caFile?: string | undefined;
  readonly timeoutMs: number;
}

/** {@link AdminTransport} over HTTP or HTTPS. */
export class HttpAdminTransport extends AdminTransport {
  readonly #options: HttpAdminTransportOptions;

  constructor(options: HttpAdminTransportOptions) {
    super();
    this.#options = options;
  }

  override async send(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<TransportAnswer> {
    const { baseUrl, bearer, caFile, timeoutMs } = this.#options;
    const agent = new Agent({ connect: caFile ? { ca: readFileSync(caFile) } : {} });
    try {
      const response = await sendRequest(`${baseUrl}/admin/v1/${path}`, {
        method,
        headers: { authorization: `Bearer ${bearer}`, 'content-type': 'application/json' },
        ...(body !== undefined && { body: JSON.stringify(body) }),
        dispatcher: agent,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const answer = { status: response.statusCode, body: await response.body.json() };
      if (method === 'POST') requireFramed(response.statusCode, response.headers);
      return answer;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new CtlError(
        method === 'GET' ? ExitCode.Unreachable : ExitCode.OutcomeUnknown,
        `no answer from ${baseUrl}: ${reason}; try the address of another daemon`,
        baseUrl,
        error,
      );
    } finally {
      await agent.destroy();
    }
  }
}

const errorBody = z.object({
  error: z.object({ code: z.string(), message: z.string(), next: z.string() }),
});

/**
 * Typed client of the administration API.
 *
 * @example
 * ```ts
 * const { answers, missing } = await admin.query(AdminQuery.Status, {});
 * ```
 */
export class AdminClient {
  readonly #transport: AdminTransport;

  constructor(transport: AdminTransport) {
    this.#transport = transport;
  }

  /** Asks all daemons. @throws CtlError with the exit code that fits the refusal. */
  async query<Q extends AdminQuery>(
    query: Q,
    params: QueryParams<Q>,
  ): Promise<Gathered<QueryAnswer<Q>>> {
    const answer =
      query === AdminQuery.Drain
        ? await this.#transport.send('POST', 'drain', params)
        : await this.#transport.send('GET', pathOf(query, params));
    const schema = queryAnswers[query] as unknown as z.ZodType<QueryAnswer<Q>>;
    return this.#decode(gatheredSchema(schema), answer);
  }

  /** Records the outcome of a call. */
  async resolve(id: string, ran: boolean, note: string): Promise<WorkItem> {
    const path = `jobs/${encodeURIComponent(id)}/resolve`;
    return this.#decode(workItemSchema, await this.#transport.send('POST', path, { ran, note }));
  }

  /** Withdraws a job. */
  async cancel(id: string, note: string): Promise<WorkItem> {
    const path = `jobs/${encodeURIComponent(id)}/cancel`;
    return this.#decode(workItemSchema, await this.#transport.send('POST', path, { note }));
  }

  #decode<T>(schema: z.ZodType<T>, answer: TransportAnswer): T {
    if (answer.status === 200) {
      const result = schema.safeParse(answer.body);
      if (result.success) return result.data;
      throw new CtlError(
        ExitCode.Failed,
        'the daemon sent an answer of another format; use the oriolectl of its version',
        'daemon',
        result.error,
      );
    }
    const { error } = errorBody.safeParse(answer.body).data ?? {};
    throw new CtlError(
      exitCodes.get(answer.status) ?? ExitCode.Failed,
      error ? `${error.message}\n${error.next}` : `the daemon answered ${answer.status}`,
      'daemon',
    );
  }
}

const exitCodes = new Map([
  [400, ExitCode.Usage],
  [401, ExitCode.Denied],
  [403, ExitCode.Denied],
  [404, ExitCode.NotFound],
  [502, ExitCode.OutcomeUnknown],
  [503, ExitCode.Unreachable],
]);

const resources = {
  [AdminQuery.SettingsInForce]: 'settings',
  [AdminQuery.Status]: 'status',
  [AdminQuery.Endpoints]: 'endpoints',
  [AdminQuery.Drain]: 'drain',
  [AdminQuery.Jobs]: 'jobs',
  [AdminQuery.Explain]: 'explain',
  [AdminQuery.Burn]: 'burn',
} as const;

/** Names in the query string that differ from those of the parameters. */
const queryNames = new Map([
  ['workspaceId', 'workspace'],
  ['serviceId', 'service'],
]);

function pathOf(query: AdminQuery, params: object): string {
  if ('requestId' in params) {
    return `${resources[query]}/${encodeURIComponent(String(params.requestId))}`;
  }
  const search = new URLSearchParams();
  for (const [name, value] of Object.entries(params)) {
    if (value !== undefined) search.set(queryNames.get(name) ?? name, String(value));
  }
  return search.size > 0 ? `${resources[query]}?${search.toString()}` : resources[query];
}
