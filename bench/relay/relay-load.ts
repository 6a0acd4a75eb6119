import { Agent, type Dispatcher } from 'undici';

/** What one stream saw. */
export interface StreamResult {
  readonly events: number;
  readonly firstEventMs: number;
}

/** Options of {@link RelayLoad}. */
export interface RelayLoadOptions {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** Callers of a relay: opens streams and counts their events. @internal */
export class RelayLoad {
  readonly #options: RelayLoadOptions;
  readonly #agent = new Agent({
    connections: null,
    pipelining: 1,
    bodyTimeout: 0,
    headersTimeout: 0,
  });
  /** Events received on all streams so far. */
  receivedEvents = 0;

  constructor(options: RelayLoadOptions) {
    this.#options = options;
  }

  /** Opens one stream and resolves when it has ended. */
  stream(events: number, stepMs: number, onFirst?: () => void): Promise<StreamResult> {
    const body = JSON.stringify({
      model: 'bench',
      stream: true,
      messages: [{ role: 'user', content: `events=${events} step_ms=${stepMs}` }],
    });
    const startedAtMs = performance.now();
    let firstEventMs = Infinity;
    let received = 0;
    return new Promise((resolve, reject) => {
      const handler: Dispatcher.DispatchHandler = {
        onRequestStart: () => undefined,
        onResponseStart: (_controller, status) => {
          if (status !== 200) reject(new Error(`status ${status}`));
        },
        onResponseData: (_controller, chunk) => {
          if (firstEventMs === Infinity) {
            firstEventMs = performance.now() - startedAtMs;
            onFirst?.();
          }
          const count = countEvents(chunk);
          received += count;
          this.receivedEvents += count;
        },
        onResponseEnd: () => {
          resolve({ events: received, firstEventMs });
        },
        onResponseError: (_controller, error) => {
          reject(error);
        },
      };
      const path = '/v1/chat/completions';
      const { url, headers } = this.#options;
      this.#agent.dispatch(
        { origin: url, path, method: 'POST', headers: { ...headers }, body },
        handler,
      );
    });
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

/** Events in a chunk; each ends with an empty line. */
function countEvents(chunk: Buffer): number {
  let count = 0;
  for (let at = chunk.indexOf('\n\n'); at >= 0; at = chunk.indexOf('\n\n', at + 2)) count += 1;
  return count;
}
