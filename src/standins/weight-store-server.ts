import {
  WeightStoreBusyError,
  type WeightLoadRequest,
  type WeightStore,
} from '../capacity/index.js';
import { OrioleError, type Clock } from '../core/index.js';
import { JsonServer, type JsonReply, type JsonRequest } from './json-server.js';

/**
 * Serves a {@link WeightStore}, usually a `MemoryWeightStore`, in the protocol of
 * `HttpWeightStore`.
 *
 * @example
 * ```ts
 * const server = new WeightStoreServer(store, clock);
 * const baseUrl = await server.listen();
 * ```
 */
export class WeightStoreServer extends JsonServer {
  constructor(store: WeightStore, clock: Clock) {
    super(async (request) => {
      try {
        return await answer(store, request);
      } catch (error) {
        if (error instanceof WeightStoreBusyError) {
          const retryAfterMs = Math.max(0, error.retryAtMs - clock.nowMs());
          return { status: 429, body: { retryAfterMs } };
        }
        if (error instanceof OrioleError) return { status: 404, body: { message: error.message } };
        throw error;
      }
    });
  }
}

async function answer(store: WeightStore, { method, url, body }: JsonRequest): Promise<JsonReply> {
  const [resource, first, second] = url.pathname.split('/').slice(1).map(decodeURIComponent);
  switch (`${method} ${resource ?? ''}`) {
    case 'GET models':
      return { status: 200, body: { bytes: await store.bytesOf(first ?? '', second ?? '') } };
    case 'POST loads':
      return { status: 200, body: await store.begin(body as WeightLoadRequest) };
    case 'GET loads':
      return { status: 200, body: await store.status(first ?? '') };
    default:
      return { status: 404, body: { message: `no route for ${method} ${url.pathname}` } };
  }
}
