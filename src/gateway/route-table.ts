import { hash32 } from '../core/index.js';
import type {
  TrafficConfig,
  TrafficRoute,
  TrafficService,
  TrafficWorkspace,
} from './traffic-config.js';

/**
 * Lookups in one version of the configuration. Immutable, so that a request uses the same version
 * for its route, service and workspace.
 *
 * @example
 * ```ts
 * const route = new RouteTable(config).route('shop.example', '/orders/7');
 * ```
 */
export class RouteTable {
  readonly config: TrafficConfig;
  readonly #routesByHost = new Map<string, TrafficRoute[]>();
  readonly #services = new Map<string, TrafficService>();
  readonly #workspaceByKey = new Map<string, TrafficWorkspace>();

  constructor(config: TrafficConfig) {
    this.config = config;
    for (const route of config.routes) {
      const routes = this.#routesByHost.get(route.host);
      if (routes) routes.push(route);
      else this.#routesByHost.set(route.host, [route]);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of config.services) this.#services.set(service.name, service);
    for (const workspace of config.workspaces) {
      for (const key of workspace.callerKeys) this.#workspaceByKey.set(key, workspace);
    }
  }

  /**
   * Finds the route of the host with the longest prefix of the path.
   *
   * @param host - may include a port.
   */
  route(host: string, path: string): TrafficRoute | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase();
    return this.#routesByHost.get(name)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  service(name: string): TrafficService | undefined {
    return this.#services.get(name);
  }

  /** Finds the workspace that a caller's key belongs to. */
  workspace(key: string): TrafficWorkspace | undefined {
    return this.#workspaceByKey.get(key);
  }

  /** Chooses the service of a request by the weights of its route; the same for each request id. */
  serviceOf(route: TrafficRoute, requestId: string): string | undefined {
    const [first] = route.shares;
    if (route.shares.length <= 1) return first?.serviceName;
    const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = (hash32(requestId) / 2 ** 32) * total;
    for (const { serviceName, weight } of route.shares) {
      if (remaining < weight) return serviceName;
      remaining -= weight;
    }
    return first?.serviceName;
  }
}
