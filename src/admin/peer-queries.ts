import { z } from 'zod';
import {
  AdminQuery,
  queryAnswers,
  queryParams,
  type Gathered,
  type MissingDaemon,
  type QueryAnswer,
  type QueryParams,
} from '../admin-api/index.js';
import type { Clock } from '../core/index.js';
import type { PeerCaller, PeerMethodRegistry } from '../rpc/index.js';
import type { AdminBackend, QueryHandlers } from './admin-backend.js';

/** Options of {@link PeerQueries}. */
export interface PeerQueriesOptions {
  readonly backend: AdminBackend;
  readonly peers: PeerCaller;
  readonly clock: Clock;
  /** A daemon that has not answered for this long is listed as missing. */
  readonly timeoutMs?: number;
}

/**
 * Queries that concern every daemon that may still serve, so lost daemons are listed as missing.
 * The other queries concern work, which the remaining daemons take over from a lost one.
 */
const queriesReportingLostDaemons: ReadonlySet<AdminQuery> = new Set([
  AdminQuery.SettingsInForce,
  AdminQuery.Burn,
]);

/** Sends a query to all daemons and collects their answers. */
export class PeerQueries {
  readonly #backend: AdminBackend;
  readonly #peers: PeerCaller;
  readonly #clock: Clock;
  readonly #timeoutMs: number;

  constructor(options: PeerQueriesOptions) {
    this.#backend = options.backend;
    this.#peers = options.peers;
    this.#clock = options.clock;
    this.#timeoutMs = options.timeoutMs ?? 3_000;
  }

  /**
   * Queries this daemon and, unless `isSelfOnly`, all others concurrently.
   *
   * @returns answers ordered by daemon; a daemon that failed, timed out or sent an invalid answer
   * is listed as missing.
   */
  async gather<Q extends AdminQuery>(
    query: Q,
    params: QueryParams<Q>,
    isSelfOnly = false,
  ): Promise<Gathered<QueryAnswer<Q>>> {
    const peers = isSelfOnly ? [] : this.#backend.peers();
    const targets = [
      { daemon: this.#backend.daemon, ask: () => answerQuery(this.#backend, query, params) },
      ...peers.map(({ daemon, rpcUrl }) => ({
        daemon,
        ask: () => this.#askPeer(rpcUrl, query, params),
      })),
    ];
    const answers: { daemon: string; answer: QueryAnswer<Q> }[] = [];
    const missing: MissingDaemon[] =
      !isSelfOnly && queriesReportingLostDaemons.has(query) ? [...this.#backend.lost()] : [];
    await Promise.all(
      targets.map(async ({ daemon, ask }) => {
        try {
          answers.push({ daemon, answer: await ask() });
        } catch (error) {
          missing.push({ daemon, reason: reasonOf(error) });
        }
      }),
    );
    return { answers: answers.sort(compareByDaemon), missing: missing.sort(compareByDaemon) };
  }

  async #askPeer<Q extends AdminQuery>(
    rpcUrl: string,
    query: Q,
    params: QueryParams<Q>,
  ): Promise<QueryAnswer<Q>> {
    const deadlineAtMs = this.#clock.nowMs() + this.#timeoutMs;
    const timeoutAbort = new AbortController();
    // A `PeerCaller` that ignores its deadline must not delay the answers of the other daemons.
    const timeout = this.#clock.sleepUntil(deadlineAtMs, timeoutAbort.signal).then(() => {
      throw new Error(`no answer within ${this.#timeoutMs} ms`);
    });
    timeout.catch(() => undefined);
    try {
      const call = this.#peers.call(rpcUrl, query, params, { deadlineAtMs });
      const answer = await Promise.race([call, timeout]);
      return queryAnswers[query].parse(answer) as QueryAnswer<Q>;
    } finally {
      timeoutAbort.abort();
    }
  }
}

/**
 * Registers the query handlers of this daemon as RPC methods for the other daemons.
 *
 * @example
 * ```ts
 * registerAdminQueries(rpcServer, backend);
 * ```
 */
export function registerAdminQueries(methods: PeerMethodRegistry, backend: AdminBackend): void {
  for (const query of Object.values(AdminQuery)) {
    methods.register(query, async (params) =>
      answerQuery(backend, query, queryParams[query].parse(params) as QueryParams<typeof query>),
    );
  }
}

async function answerQuery<Q extends AdminQuery>(
  backend: AdminBackend,
  query: Q,
  params: QueryParams<Q>,
): Promise<QueryAnswer<Q>> {
  const handler: QueryHandlers[Q] = backend.handlers[query];
  return handler(params);
}

function reasonOf(error: unknown): string {
  if (error instanceof z.ZodError) return 'sent an answer that does not match its format';
  return error instanceof Error ? error.message : String(error);
}

function compareByDaemon(left: { daemon: string }, right: { daemon: string }): number {
  return left.daemon < right.daemon ? -1 : left.daemon > right.daemon ? 1 : 0;
}
