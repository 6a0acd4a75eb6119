/** Options of {@link PeerCaller.call}. */
export interface PeerCallOptions {
  /** Epoch milliseconds after which the call fails. */
  readonly deadlineAtMs: number;
}

/**
 * Calls methods of other daemons over JSON-RPC 2.0.
 *
 * @example
 * ```ts
 * const status = await peers.call('http://10.0.0.2:7000', 'status.get', {}, { deadlineAtMs });
 * ```
 */
export abstract class PeerCaller {
  /**
   * @param peerUrl - base URL of the peer's RPC listener.
   * @returns the unvalidated result; check it with a schema before use.
   * @throws OrioleError (step `rpc`) on a timeout, a connection error or an error response.
   */
  abstract call(
    peerUrl: string,
    method: string,
    params: unknown,
    options: PeerCallOptions,
  ): Promise<unknown>;
}

/** Handles calls of one method; `params` are not validated. */
export type PeerMethodHandler = (params: unknown) => Promise<unknown>;

/** Registry of the methods that a daemon serves to its peers. */
export abstract class PeerMethodRegistry {
  /** @throws Error when the method is already registered. */
  abstract register(method: string, handler: PeerMethodHandler): void;
}
