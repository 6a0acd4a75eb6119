import { LRUCache } from 'lru-cache';
import type { Clock } from '../core/index.js';
import { EngineRole, SettingsPath } from '../settings/index.js';
import type { EndpointSettings, Section } from '../settings/index.js';
import { EventId, type EventLog } from '../telemetry/index.js';
import type { EndpointRegistry } from './endpoint-registry.js';
import type { EndpointView } from './endpoint-view.js';

/** Registration of an endpoint in the store. */
export interface EndpointRegistration {
  /** Identity of the process, which refuses requests that name another instance. */
  readonly instanceId: string;
  readonly serviceName: string;
  readonly baseUrl: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly batchSlots: number;
  /** Increases with each entry of a process; 0 if unknown. */
  readonly sequence?: number;
  /** Epoch milliseconds; 0 if unknown. A later start under the same id makes a new endpoint. */
  readonly startedAtMs: number;
  readonly isDraining: boolean;
  /** Time at which the VM leaves, in epoch milliseconds, if known. */
  readonly leavingAtMs: number | undefined;
  readonly reclaimable: boolean;
  /** Version of its software; undefined if it states none. */
  readonly version?: string | undefined;
}

/** Options of {@link RegisteredEndpoints}. */
export interface RegisteredEndpointsOptions {
  readonly registry: EndpointRegistry;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Epoch milliseconds as of which the registrations are known. */
  readonly knownAsOfMs: () => number;
  /** End of the last outage of the store in epoch milliseconds; -Infinity before the first. */
  readonly outageEndedAtMs: () => number;
}

/** Team of the registered endpoints, which sets them apart from those of the settings. */
const registeredTeam = 'registered';

/** Only the team is used, since instance ids need not be valid names of sections. */
const registeredPath = SettingsPath.parse(`platform/${registeredTeam}/endpoints/any`);

/** Endpoints whose registration expired in a store outage register again this soon after its end. */
const reregistrationMs = 2_000;

/** Registrations that ended and are remembered, in case the store comes back from before their end. */
const maxEnded = 1_024;

/** How often it is checked whether the registrations are known as of that time. */
const recheckMs = 100;

/**
 * Feeds the {@link EndpointRegistry} from registrations. An endpoint whose registration ends gets
 * no new work, unless the registration may have expired in an outage of the store: then the endpoint
 * is kept for as long as live ones need to register again, counted from the end of the outage.
 *
 * @example
 * ```ts
 * endpoints.register(registration);
 * endpoints.remove('i-7');
 * ```
 */
export class RegisteredEndpoints {
  readonly #options: RegisteredEndpointsOptions;
  readonly #registrations = new Map<string, EndpointRegistration>();
  readonly #cancelRemovals = new Map<string, () => void>();
  /** Last registrations of endpoints that are gone. */
  readonly #ended = new LRUCache<string, EndpointRegistration>({ max: maxEnded });

  constructor(options: RegisteredEndpointsOptions) {
    this.#options = options;
  }

  /** Applies a new or changed registration. */
  register(registration: EndpointRegistration): void {
    const { instanceId } = registration;
    this.#cancelRemoval(instanceId);
    const { registry } = this.#options;
    const name = nameOf(instanceId);
    const known = this.#registrations.get(instanceId);
    this.#registrations.set(instanceId, registration);
    if (!known || !isSameConfig(known, registration))
      registry.applyCreated(sectionOf(registration));
    registry.observeProcessStart(name, registration.startedAtMs);
    const view = registry.viewByName(name);
    if (!view) return;
    registry.restore(view.id);
    const { version = '' } = registration;
    if (view.version !== version) registry.recordLoadedModels(view.id, [], version);
    if (!registration.isDraining) return;
    if (registration.leavingAtMs === undefined) registry.recordDraining(view.id);
    else registry.drain(view.id, registration.leavingAtMs);
  }

  /**
   * Applies a registration that the store came back with, which may be older than the one that is known:
   * an endpoint that was leaving or gone does not return by it. A live one soon registers again.
   */
  restore(registration: EndpointRegistration): void {
    const { instanceId } = registration;
    const known = this.#registrations.get(instanceId) ?? this.#ended.get(instanceId);
    if (known && isOutdated(registration, known)) return;
    this.register(registration);
  }

  /** Applies the end of a registration. */
  remove(instanceId: string): void {
    if (!this.#registrations.has(instanceId) || this.#cancelRemovals.has(instanceId)) return;
    const { clock, events, outageEndedAtMs } = this.#options;
    const endedAtMs = clock.nowMs();
    if (this.#isKnownAfterOutage()) {
      this.#unregister(instanceId, endedAtMs);
      return;
    }
    events.info(
      EventId.EndpointLapsed,
      'registration may have expired in a store outage; endpoint kept for now',
      { endpoint: instanceId, sinceOutageMs: Math.round(endedAtMs - outageEndedAtMs()) },
    );
    this.#recheck(instanceId, endedAtMs);
  }

  /** Registrations of a service, draining ones included. */
  registrationsOf(serviceName: string): EndpointRegistration[] {
    return [...this.#registrations.values()].filter(
      (registration) => registration.serviceName === serviceName,
    );
  }

  /** Id of a service in the registry. */
  serviceId(serviceName: string): string {
    return `${registeredTeam}/${serviceName}`;
  }

  /** Identity of the process behind a view. */
  instanceIdOf(view: Pick<EndpointView, 'name'>): string {
    return view.name.slice(registeredTeam.length + 1);
  }

  /**
   * Whether the registrations are known as of a time at which each live endpoint has registered
   * again after the last outage. What is missing then is gone.
   */
  #isKnownAfterOutage(): boolean {
    const { knownAsOfMs, outageEndedAtMs } = this.#options;
    return knownAsOfMs() >= outageEndedAtMs() + reregistrationMs;
  }

  /** Removes an endpoint that does not register again after the outage. */
  #recheck(instanceId: string, endedAtMs: number): void {
    const { clock, outageEndedAtMs } = this.#options;
    const atMs = Math.max(outageEndedAtMs() + reregistrationMs, clock.nowMs() + recheckMs);
    const cancel = clock.schedule(atMs, () => {
      this.#cancelRemovals.delete(instanceId);
      if (this.#isKnownAfterOutage()) this.#unregister(instanceId, endedAtMs);
      else this.#recheck(instanceId, endedAtMs);
    });
    this.#cancelRemovals.set(instanceId, cancel);
  }

  #unregister(instanceId: string, endedAtMs: number): void {
    const { clock, events, knownAsOfMs } = this.#options;
    const nowMs = clock.nowMs();
    events.info(EventId.RegistrationEnded, 'registration ended; endpoint gets no new work', {
      endpoint: instanceId,
      copyAgeMs: Math.round(nowMs - knownAsOfMs()),
      keptMs: Math.round(nowMs - endedAtMs),
    });
    const registration = this.#registrations.get(instanceId);
    if (registration) this.#ended.set(instanceId, registration);
    this.#registrations.delete(instanceId);
    this.#options.registry.removeCreated(nameOf(instanceId));
  }

  #cancelRemoval(instanceId: string): void {
    this.#cancelRemovals.get(instanceId)?.();
    this.#cancelRemovals.delete(instanceId);
  }
}

/** Name of the section of an endpoint. */
function nameOf(instanceId: string): string {
  return `${registeredTeam}/${instanceId}`;
}

/** Whether a registration is no later than one that is known. */
function isOutdated(
  { startedAtMs, sequence = 0 }: EndpointRegistration,
  known: EndpointRegistration,
): boolean {
  if (startedAtMs !== known.startedAtMs) return startedAtMs < known.startedAtMs;
  return sequence <= (known.sequence ?? 0);
}

function isSameConfig(a: EndpointRegistration, b: EndpointRegistration): boolean {
  return (
    a.baseUrl === b.baseUrl &&
    a.serviceName === b.serviceName &&
    a.startedAtMs === b.startedAtMs &&
    a.batchSlots === b.batchSlots
  );
}

function sectionOf(registration: EndpointRegistration): Section<EndpointSettings> {
  const { instanceId, serviceName, baseUrl, region, failureDomain } = registration;
  return {
    id: nameOf(instanceId),
    path: registeredPath,
    values: {
      service: serviceName,
      base_url: baseUrl,
      region,
      failure_domain: failureDomain,
      vm_id: instanceId,
      vm_class: 'standard',
      reclaimable: registration.reclaimable,
      price_usd_per_hour: 1,
      batch_slots: registration.batchSlots,
      checks_fence: false,
      role: EngineRole.Mixed,
    },
  };
}
