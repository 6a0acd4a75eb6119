import { WorkClass } from '../../src/core/index.js';
import { EndpointState, type EndpointView } from '../../src/fleet/index.js';
import type { RouteRequest } from '../../src/routing/index.js';
import { EngineRole } from '../../src/settings/index.js';

export const noRequests = { [WorkClass.Short]: 0, [WorkClass.Medium]: 0, [WorkClass.Long]: 0 };

export function view(id: string, changes: Partial<EndpointView> = {}): EndpointView {
  return {
    id,
    name: `team/${id}`,
    serviceId: 'team/assistant',
    baseUrl: 'http://127.0.0.1:1',
    region: 'litoral',
    failureDomain: 'litoral-rosario',
    vmClass: 'standard',
    reclaimable: true,
    priceUsdPerHour: 2,
    batchSlots: 8,
    checksFence: true,
    role: EngineRole.Mixed,
    state: EndpointState.Live,
    leavingAtMs: undefined,
    loadedModels: ['base'],
    version: '1',
    circuitOpenUntilMs: 0,
    ownInFlight: { requests: noRequests, pendingTokens: 0 },
    report: undefined,
    speed: { tokenGapMs: 30, prefillTokensPerS: 8_000, slowdownRatio: 1 },
    ...changes,
  };
}

export function request(changes: Partial<RouteRequest> = {}): RouteRequest {
  return {
    requestId: 'r',
    workspaceId: 'team/quotes',
    serviceId: 'team/assistant',
    model: 'base',
    workClass: WorkClass.Short,
    promptTokens: 1_000,
    expectedOutputTokens: 100,
    prefix: [],
    deadlineAtMs: 1e9,
    weights: { weight_cost: 1, weight_wait: 1, weight_tail: 1, weight_recompute: 1 },
    objectiveFirstTokenMs: 1_900,
    objectiveBetweenTokensMs: 66,
    spillOver: true,
    shortReserveRatio: 0.25,
    subsetSize: 128,
    repeatable: true,
    requiresFence: false,
    excludedEndpoints: [],
    ...changes,
  };
}
