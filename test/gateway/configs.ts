import {
  RequestKind,
  type TrafficConfig,
  type TrafficRoute,
} from '../../src/gateway/traffic-config.js';

/** A route of `shop.example`, for tests. */
export function trafficRoute(changes: Partial<TrafficRoute> = {}): TrafficRoute {
  return {
    name: 'route',
    host: 'shop.example',
    pathPrefix: '/',
    kind: RequestKind.Idempotent,
    timeoutMs: 3_000,
    objectiveMs: 200,
    objectiveBetweenEventsMs: 500,
    priority: 1,
    shares: [{ serviceName: 'orders', weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    hasPrompt: false,
    isResumable: false,
    ...changes,
  };
}

/** A configuration with one route and one service, for tests. */
export function trafficConfig(changes: Partial<TrafficConfig> = {}): TrafficConfig {
  return {
    version: 1,
    routes: [trafficRoute()],
    services: [
      {
        name: 'orders',
        healthPath: '/health',
        scaling: undefined,
      },
    ],
    requiresKeys: (changes.workspaces ?? []).length > 0,
    workspaces: [],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...changes,
  };
}
