import { z } from 'zod';
import {
  AdminQuery,
  newestWorkItems,
  queryParams,
  WorkKind,
  type Gathered,
  type QueryAnswer,
  type QueryParams,
  type WorkItem,
} from '../admin-api/index.js';
import { SectionKind, SettingsPath } from '../settings/index.js';
import type { AdminBackend } from './admin-backend.js';
import { AdminError } from './admin-error.js';
import type { OperatorScope } from './operator-scope.js';
import type { PeerQueries } from './peer-queries.js';

/** A request from an authenticated operator. */
export interface AdminRequest {
  readonly method: string;
  /** Decoded path segments below `/admin/v1/`. */
  readonly parts: readonly string[];
  readonly query: URLSearchParams;
  /** Parsed JSON body; undefined when there is none. */
  readonly body: unknown;
  /** Id of the operator's key. */
  readonly operator: string;
  readonly scope: OperatorScope;
}

/** Answer of a route. */
export interface AdminAnswer {
  readonly body: unknown;
  /** Description of the change, for the log; undefined for a request that only reads. */
  readonly action?: string;
}

const resolveBody = z.strictObject({ ran: z.boolean(), note: z.string().min(1).max(500) });
const cancelBody = z.strictObject({ note: z.string().max(500).default('') });

/** Routes requests of the administration API and checks them against the operator's scope. */
export class AdminRoutes {
  readonly #backend: AdminBackend;
  readonly #queries: PeerQueries;

  constructor(backend: AdminBackend, queries: PeerQueries) {
    this.#backend = backend;
    this.#queries = queries;
  }

  /** @throws AdminError when the request is invalid, out of scope or names unknown work. */
  async handle(request: AdminRequest): Promise<AdminAnswer> {
    const [resource = '', id = '', verb = ''] = request.parts;
    switch (`${request.method} ${[resource, id && ':id', verb].filter(Boolean).join('/')}`) {
      case 'GET settings':
        return this.#read(request, AdminQuery.SettingsInForce, {
          path: request.query.get('path') ?? '',
          sections: request.query.get('sections') !== 'false',
        });
      case 'GET status':
        return this.#read(request, AdminQuery.Status, {});
      case 'GET endpoints':
        return this.#read(request, AdminQuery.Endpoints, {
          path: request.query.get('path') ?? '',
        });
      case 'GET jobs':
        return this.#read(request, AdminQuery.Jobs, jobsParams(request.query));
      case 'GET burn':
        return this.#read(request, AdminQuery.Burn, {
          workspaceId: request.query.get('workspace') ?? undefined,
          serviceId: request.query.get('service') ?? undefined,
        });
      case 'GET explain/:id':
        return this.#read(request, AdminQuery.Explain, { requestId: id });
      case 'POST drain':
        return this.#drain(request);
      case 'POST jobs/:id/resolve':
        return this.#resolve(request, id);
      case 'POST jobs/:id/cancel':
        return this.#cancel(request, id);
      default:
        throw new AdminError(
          404,
          'unknown_route',
          `${request.method} /admin/v1/${request.parts.join('/')} does not exist`,
          'See docs/operators/oriolectl.md for the commands.',
        );
    }
  }

  async #read<Q extends AdminQuery>(
    request: AdminRequest,
    query: Q,
    params: QueryParams<Q>,
  ): Promise<AdminAnswer> {
    return { body: await this.#gather(request, query, params) };
  }

  async #gather<Q extends AdminQuery>(
    request: AdminRequest,
    query: Q,
    params: QueryParams<Q>,
  ): Promise<Gathered<QueryAnswer<Q>>> {
    const isSelfOnly = request.query.get('daemons') === 'self';
    const { answers, missing } = await this.#queries.gather(query, params, isSelfOnly);
    return {
      answers: answers.map(({ daemon, answer }) => ({
        daemon,
        answer: request.scope.restrict(query, answer),
      })),
      missing,
    };
  }

  async #drain(request: AdminRequest): Promise<AdminAnswer> {
    const params = validate(queryParams[AdminQuery.Drain], request.body);
    const path = SettingsPath.tryParse(params.path);
    if (path?.kind !== SectionKind.Endpoints) {
      throw new AdminError(
        400,
        'bad_path',
        `"${params.path}" is not the path of an endpoint`,
        'Name one endpoint as deployment/team/endpoints/name.',
      );
    }
    if (!request.scope.coversPath(params.path)) throw outOfScope(params.path);
    const body = await this.#gather(request, AdminQuery.Drain, params);
    return { body, action: `drain ${params.path}` };
  }

  async #resolve(request: AdminRequest, id: string): Promise<AdminAnswer> {
    const { ran, note } = validate(resolveBody, request.body);
    await this.#findWorkItem(request, id, WorkKind.Call);
    const body = await this.#backend.resolve({ id, ran, note, operator: request.operator });
    return { body, action: `resolve ${id} as ${ran ? 'ran' : 'not_run'}` };
  }

  async #cancel(request: AdminRequest, id: string): Promise<AdminAnswer> {
    const { note } = validate(cancelBody, request.body ?? {});
    await this.#findWorkItem(request, id, WorkKind.Job);
    const body = await this.#backend.cancel({ id, note, operator: request.operator });
    return { body, action: `cancel ${id}` };
  }

  /**
   * Finds a job or call within the operator's scope. Work outside the scope is treated as absent.
   *
   * @throws AdminError 404 when there is none, 503 when there is none and a daemon did not answer.
   */
  async #findWorkItem(request: AdminRequest, id: string, kind: WorkKind): Promise<WorkItem> {
    const gathered = await this.#gather(request, AdminQuery.Jobs, { id, limit: 10 });
    const item = newestWorkItems(gathered).find((one) => one.id === id && one.kind === kind);
    if (item) return item;
    const unansweredDaemons = gathered.missing.map(({ daemon }) => daemon);
    if (unansweredDaemons.length > 0) {
      throw new AdminError(
        503,
        'daemons_missing',
        `no daemon that answered knows ${kind} "${id}"; no answer from ${unansweredDaemons.join(', ')}`,
        'Send the request again in a few seconds.',
      );
    }
    throw new AdminError(
      404,
      'unknown_work',
      `there is no ${kind} "${id}" in the scope of this key`,
      'List what there is with `oriolectl jobs list`.',
    );
  }
}

function jobsParams(query: URLSearchParams): QueryParams<AdminQuery.Jobs> {
  const limit = query.get('limit');
  return validate(queryParams[AdminQuery.Jobs], {
    id: query.get('id') ?? undefined,
    workspaceId: query.get('workspace') ?? undefined,
    state: query.get('state') ?? undefined,
    limit: limit === null ? undefined : Number(limit),
  });
}

function validate<T>(schema: z.ZodType<T>, value: unknown): T {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  throw new AdminError(
    400,
    'bad_request',
    z.prettifyError(result.error),
    'Correct the fields named and send the request again.',
  );
}

function outOfScope(path: string): AdminError {
  return new AdminError(
    403,
    'out_of_scope',
    `the scope of this key does not cover "${path}"`,
    'Use a key whose scope covers the path.',
  );
}
