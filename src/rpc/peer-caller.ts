/** Options of {@link PeerCaller.call}. */
export interface PeerCallOptions {
  /** Epoch milliseconds after which the call fails. */
  readonly deadlineAtMs: number;
}

/**
 * Calls methods of other daemons by JSON-RPC 2.0.
 *
 * @example
 * ```ts
 * const status = await peers.call('http://10.0.0.2:7000', 'status.get', {}, { deadlineAtMs });
 * ```
 */
export abstract class PeerCaller {
  /**
   * @param peerUrl - base URL of the peer's RPC listener.
   * @returns the result as sent; check it with a schema before use.
   * @throws OrioleError (step `rpc`) on a time-out, a broken connection or an error answer.
   */
  abstract call(
    peerUrl: string,
    method: string,
    params: unknown,
    options: PeerCallOptions,
  ): Promise<unknown>;
}

/** Handles one method; `params` are unchecked. */
export type PeerMethodHandler = (params: unknown) => Promise<unknown>;

/** Methods that a daemon offers to its peers. */
export abstract class PeerMethodRegistry {
  /** @throws Error when the method exists already. */
  abstract register(method: string, handler: PeerMethodHandler): void;
}
