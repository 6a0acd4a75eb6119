import { LRUCache } from 'lru-cache';
import { HttpConnection, type HttpCall, type HttpResponse } from '../core/http-connection.js';
import { HistoryTrimmedError, type KeyedEntry, type KeyedPage } from '../log/keyed-log.js';
import { maxTransferMs } from '../log/keyed-replica.js';
import { LogUnavailableError } from '../log/log-errors.js';
import type { Offset } from '../log/log-service.js';
import { StoreEra } from '../log/store-era.js';
import { decodePage, encodeEntries } from './page-codec.js';
import { compressedParameter, eraParameter, replicaPaths } from './replica-server.js';

/** Calls to the copies of another daemon. */
export abstract class ReplicaClient {
  /**
   * Reads records from an offset on; waits up to `waitMs` for the first one.
   *
   * @param onBytes - called whenever bytes of the answer have arrived.
   * @throws HistoryTrimmedError when the daemon does not know all changes since this offset.
   * @throws LogUnavailableError when the daemon does not serve the topic or did not respond.
   */
  abstract read(
    address: string,
    topic: string,
    fromOffset: Offset,
    waitMs: number,
    signal?: AbortSignal,
    onBytes?: () => void,
  ): Promise<KeyedPage>;

  /**
   * Reads the newest record of each key.
   *
   * @throws LogUnavailableError when the daemon does not serve the topic or did not respond.
   */
  abstract newest(address: string, topic: string, signal?: AbortSignal): Promise<KeyedPage>;

  /**
   * Appends an entry through the daemon, together with those of others.
   *
   * @throws LogUnavailableError when the entry is not known to be stored.
   */
  abstract append(address: string, topic: string, entry: KeyedEntry): Promise<void>;

  abstract close(): void;
}

/** Time for the first bytes, in addition to the time for which the daemon may hold a read. */
const answerTimeoutMs = 400;

/**
 * Time for each further {@link minProgressBytes} of a page; one that takes longer is read elsewhere.
 */
const stalledMs = 700;
const minProgressBytes = 4_096;

/** Covers the wait for a batch and the append to the store. */
const appendTimeoutMs = 2_000;

/** Daemons to which connections are kept. */
const maxConnections = 8;

/** {@link ReplicaClient} over HTTP, for {@link ReplicaServer}. */
export class HttpReplicaClient extends ReplicaClient {
  readonly #era: StoreEra;
  readonly #connections = new LRUCache<string, HttpConnection>({
    max: maxConnections,
    dispose: (connection) => {
      connection.close();
    },
  });

  /** @param era - era of the store as this daemon knows it. */
  constructor(era = new StoreEra()) {
    super();
    this.#era = era;
  }

  override async read(
    address: string,
    topic: string,
    fromOffset: Offset,
    waitMs: number,
    signal?: AbortSignal,
    onBytes?: () => void,
  ): Promise<KeyedPage> {
    const transfer = { stalledMs, minBytes: minProgressBytes, maxMs: maxTransferMs, onBytes };
    try {
      return await this.#readOnce(address, topic, fromOffset, waitMs, { signal, transfer });
    } catch (error) {
      if (!wasReset(error)) throw error;
      return await this.#readOnce(address, topic, fromOffset, 0, { signal, transfer });
    }
  }

  async #readOnce(
    address: string,
    topic: string,
    fromOffset: Offset,
    waitMs: number,
    options: Pick<HttpCall, 'signal' | 'transfer'>,
  ): Promise<KeyedPage> {
    const query = new URLSearchParams({
      topic,
      from: String(fromOffset),
      wait_ms: String(waitMs),
      [compressedParameter]: '1',
      [eraParameter]: String(this.#era.current),
    });
    const path = `${replicaPaths.read}?${query.toString()}`;
    const timeoutMs = waitMs + answerTimeoutMs;
    const call: HttpCall = { method: 'GET', path, timeoutMs, ...options };
    const { status, body } = await this.#call(address, call);
    if (status === 410) throw new HistoryTrimmedError(topic);
    return decodePage(expectOk(address, status, body));
  }

  override async newest(address: string, topic: string, signal?: AbortSignal): Promise<KeyedPage> {
    const query = new URLSearchParams({
      topic,
      [compressedParameter]: '1',
      [eraParameter]: String(this.#era.current),
    });
    const transfer = {
      stalledMs,
      minBytes: minProgressBytes,
      maxMs: maxTransferMs,
      onBytes: undefined,
    };
    const { status, body } = await this.#call(address, {
      method: 'GET',
      path: `${replicaPaths.newest}?${query.toString()}`,
      timeoutMs: answerTimeoutMs,
      transfer,
      signal,
    });
    return decodePage(expectOk(address, status, body));
  }

  override async append(address: string, topic: string, entry: KeyedEntry): Promise<void> {
    const path = `${replicaPaths.append}?${new URLSearchParams({ topic }).toString()}`;
    const body = encodeEntries([entry]);
    const call: HttpCall = { method: 'POST', path, body, timeoutMs: appendTimeoutMs };
    const response = await this.#call(address, call);
    expectOk(address, response.status, response.body);
  }

  override close(): void {
    this.#connections.clear();
  }

  async #call(address: string, call: HttpCall): Promise<HttpResponse> {
    try {
      return await this.#connectionTo(address).call(call);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new LogUnavailableError(`the daemon did not respond: ${reason}`, address, true, error);
    }
  }

  #connectionTo(address: string): HttpConnection {
    let connection = this.#connections.get(address);
    if (!connection) {
      const at = address.lastIndexOf(':');
      connection = new HttpConnection({
        host: address.slice(0, at),
        port: Number(address.slice(at + 1)),
      });
      this.#connections.set(address, connection);
    }
    return connection;
  }
}

/** A daemon breaks off a page that was superseded on its way; the newest is asked for at once. */
function wasReset(error: unknown): boolean {
  const cause = error instanceof LogUnavailableError ? error.cause : undefined;
  return (cause as NodeJS.ErrnoException | undefined)?.code === 'ECONNRESET';
}

function expectOk(address: string, status: number, body: Buffer): Buffer {
  if (status === 200) return body;
  throw new LogUnavailableError(`the daemon responded with status ${status}`, address, true);
}
