import {
  CloudUnavailableError,
  StartRefusedError,
  type CloudApi,
  type VmRequest,
} from '../capacity/index.js';
import { JsonServer, type JsonReply, type JsonRequest } from './json-server.js';

/**
 * Serves a {@link CloudApi}, usually a `MemoryCloud`, in the protocol of `HttpCloudApi`. Calls that
 * the cloud leaves unanswered break their connection.
 *
 * @example
 * ```ts
 * const server = new CloudServer(new MemoryCloud({ clock, offers }));
 * const baseUrl = await server.listen();
 * ```
 */
export class CloudServer extends JsonServer {
  constructor(cloud: CloudApi) {
    super(async (request) => {
      try {
        return await answer(cloud, request);
      } catch (error) {
        if (error instanceof StartRefusedError) {
          return { status: 409, body: { message: error.message } };
        }
        if (error instanceof CloudUnavailableError) return undefined;
        throw error;
      }
    });
  }
}

async function answer(cloud: CloudApi, { method, url, body }: JsonRequest): Promise<JsonReply> {
  const region = url.searchParams.get('region') ?? '';
  const [resource, id] = url.pathname.split('/').slice(1);
  switch (`${method} ${resource ?? ''}`) {
    case 'POST vms':
      return { status: 200, body: { vmId: await cloud.createVm(body as VmRequest) } };
    case 'DELETE vms':
      await cloud.deleteVm(decodeURIComponent(id ?? ''));
      return { status: 204 };
    case 'GET vms':
      return { status: 200, body: await cloud.listVms(region) };
    case 'GET notices': {
      const after = Number(url.searchParams.get('after') ?? 0);
      const waitMs = Number(url.searchParams.get('wait_ms') ?? 0);
      return { status: 200, body: { notices: await cloud.notices(region, after, waitMs) } };
    }
    case 'GET offers':
      return { status: 200, body: { offers: await cloud.offers(region) } };
    default:
      return { status: 404, body: { message: `no route for ${method} ${url.pathname}` } };
  }
}
