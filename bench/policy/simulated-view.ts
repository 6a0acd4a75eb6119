import { EndpointState, type EndpointView } from '../../src/fleet/index.js';
import { EngineRole } from '../../src/settings/index.js';

/** Service that all simulated endpoints belong to. */
export const serviceId = 'team/assistant';

/** View of a live, idle, unobserved endpoint with the given changes. */
export function simulatedView(id: string, changes: Partial<EndpointView>): EndpointView {
  return {
    id,
    name: `team/${id}`,
    serviceId,
    baseUrl: 'http://127.0.0.1:1',
    region: '',
    failureDomain: '',
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
    ownInFlight: { requests: { short: 0, medium: 0, long: 0 }, pendingTokens: 0 },
    report: undefined,
    speed: { tokenGapMs: undefined, prefillTokensPerS: undefined, slowdownRatio: 1 },
    ...changes,
  };
}
