import { WorkClass } from '../core/index.js';
import type { EndpointSettings, Section } from '../settings/index.js';
import {
  EndpointState,
  type EndpointView,
  type ObservedSpeed,
  type ReceivedLoadReport,
} from './endpoint-view.js';
import { processSubject, type LeavingEntry } from './leaving-set.js';

/** What the registry knows of one endpoint. */
export interface EndpointRecord {
  readonly id: string;
  readonly vmId: string;
  /** Subject of leaving entries for this process alone. */
  readonly subject: string;
  readonly incarnation: number;
  section: Section<EndpointSettings>;
  serviceId: string;
  configuredModels: readonly string[];
  configuredVersion: string;
  loaded: { readonly models: readonly string[]; readonly version: string } | undefined;
  isObserved: boolean;
  isSuspect: boolean;
  failures: number;
  circuitOpenUntilMs: number;
  report: ReceivedLoadReport | undefined;
  readonly requests: Record<WorkClass, number>;
  pendingTokens: number;
  view: EndpointView | undefined;
}

/**
 * Identity of an endpoint: VM, process and incarnation, never the address.
 *
 * @param name - `team/name` of the settings section, as several processes may run on one VM.
 * @param incarnation - later of the start times of the VM and the process; 0 while both are
 * unknown.
 */
export function endpointIdentity(vmId: string, name: string, incarnation: number): string {
  return `${processSubject(vmId, name)}#${incarnation}`;
}

/** Identity and settings of a new {@link EndpointRecord}. */
export type EndpointOrigin = Pick<
  EndpointRecord,
  | 'id'
  | 'vmId'
  | 'subject'
  | 'incarnation'
  | 'section'
  | 'serviceId'
  | 'configuredModels'
  | 'configuredVersion'
>;

/** A record of an endpoint of which nothing has been observed. */
export function newRecord(origin: EndpointOrigin): EndpointRecord {
  return {
    ...origin,
    loaded: undefined,
    isObserved: false,
    isSuspect: false,
    failures: 0,
    circuitOpenUntilMs: 0,
    report: undefined,
    requests: { [WorkClass.Short]: 0, [WorkClass.Medium]: 0, [WorkClass.Long]: 0 },
    pendingTokens: 0,
    view: undefined,
  };
}

/** The view of an endpoint, which does not change with its record. */
export function viewOfRecord(
  endpoint: EndpointRecord,
  entry: LeavingEntry | undefined,
  speed: ObservedSpeed,
): EndpointView {
  const { values } = endpoint.section;
  return {
    id: endpoint.id,
    name: endpoint.section.id,
    serviceId: endpoint.serviceId,
    baseUrl: values.base_url,
    region: values.region,
    failureDomain: values.failure_domain,
    vmClass: values.vm_class,
    reclaimable: values.reclaimable,
    priceUsdPerHour: values.price_usd_per_hour,
    batchSlots: values.batch_slots,
    checksFence: values.checks_fence,
    role: values.role,
    state: stateOf(endpoint, entry !== undefined),
    leavingAtMs: entry?.leavingAtMs,
    loadedModels: endpoint.loaded?.models ?? endpoint.configuredModels,
    version: endpoint.loaded?.version ?? endpoint.configuredVersion,
    circuitOpenUntilMs: endpoint.circuitOpenUntilMs,
    ownInFlight: { requests: { ...endpoint.requests }, pendingTokens: endpoint.pendingTokens },
    report: endpoint.report,
    speed,
  };
}

function stateOf(endpoint: EndpointRecord, isLeaving: boolean): EndpointState {
  if (isLeaving) return EndpointState.Leaving;
  if (endpoint.isSuspect) return EndpointState.Suspect;
  return endpoint.isObserved ? EndpointState.Live : EndpointState.Starting;
}
