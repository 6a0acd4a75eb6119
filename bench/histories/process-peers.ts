import {
  PeerCaller,
  PeerMethodRegistry,
  RpcError,
  type PeerCallOptions,
  type PeerMethodHandler,
} from '../../src/rpc/index.js';
import type { MemoryPeerNetwork } from '../../src/standins/index.js';
import type { SimulatedProcess } from './process.js';

/** The peer network as one process sees it. */
export interface ProcessPeers {
  readonly url: string;
  readonly caller: PeerCaller;
  readonly methods: PeerMethodRegistry;
}

/** Opens the RPC listener of a process; a later process at the same URL replaces it. */
export function listenInProcess(
  network: MemoryPeerNetwork,
  url: string,
  process: SimulatedProcess,
): ProcessPeers {
  const { caller, methods } = network.listen(url);
  return {
    url,
    caller: new ProcessCaller(caller, process),
    methods: new ProcessMethods(methods, process),
  };
}

class ProcessCaller extends PeerCaller {
  readonly #inner: PeerCaller;
  readonly #process: SimulatedProcess;

  constructor(inner: PeerCaller, process: SimulatedProcess) {
    super();
    this.#inner = inner;
    this.#process = process;
  }

  override async call(
    peerUrl: string,
    method: string,
    params: unknown,
    options: PeerCallOptions,
  ): Promise<unknown> {
    const process = this.#process;
    if (process.isCrashed) return new Promise(() => undefined);
    const answered = new AbortController();
    const timeout = process.sleepUntil(options.deadlineAtMs, answered.signal).then(() => {
      throw new RpcError(`no answer to "${method}"`, peerUrl, true);
    });
    const answer = process.deliver(this.#inner.call(peerUrl, method, params, options));
    // The one that comes second may fail without anybody waiting for it.
    timeout.catch(() => undefined);
    answer.catch(() => undefined);
    try {
      // A paused peer holds the request in its socket, so the caller's own bound must apply.
      return await Promise.race([answer, timeout]);
    } finally {
      answered.abort();
    }
  }
}

class ProcessMethods extends PeerMethodRegistry {
  readonly #inner: PeerMethodRegistry;
  readonly #process: SimulatedProcess;

  constructor(inner: PeerMethodRegistry, process: SimulatedProcess) {
    super();
    this.#inner = inner;
    this.#process = process;
  }

  override register(method: string, handler: PeerMethodHandler): void {
    const process = this.#process;
    this.#inner.register(method, async (params) => {
      await process.deliver(Promise.resolve());
      return process.deliver(handler(params));
    });
  }
}
