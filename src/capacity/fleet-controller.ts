import { LRUCache } from 'lru-cache';
import type { Clock, Random } from '../core/index.js';
import { LeavingSource, vmLeavingEntry, type LeavingSet } from '../fleet/index.js';
import type { ServiceSettings } from '../settings/index.js';
import type { Fence } from '../state/index.js';
import { EventId, NullEventLog, type EventLog } from '../telemetry/index.js';
import { CapacityPlanner, type PlannedVm } from './capacity-planner.js';
import {
  StartRefusedError,
  type CloudApi,
  type CloudVmList,
  type VmOffer,
  type VmRequest,
} from './cloud-api.js';
import { IntentState, type CreateIntent, type CreateIntentStore } from './create-intent-store.js';
import { DataSource, type SourceFreshness } from './source-freshness.js';
import type { LeaseManager } from './lease-manager.js';
import { RefusalBackoff, type BlockedOffer } from './refusal-backoff.js';

/** Options of {@link FleetController}. */
export interface FleetControllerOptions {
  readonly serviceId: string;
  readonly region: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly cloud: CloudApi;
  readonly leases: LeaseManager;
  /** Whether this daemon tries to acquire the lease when it is free; see {@link isTopRanked}. */
  readonly isCandidate: () => boolean;
  readonly intents: CreateIntentStore;
  readonly leaving: LeavingSet;
  readonly freshness: SourceFreshness;
  /** Newest list of VMs; undefined before the first. */
  readonly list: () => CloudVmList | undefined;
  readonly settings: () => ServiceSettings | undefined;
  /** VMs needed for the load of this service in this region. */
  readonly targetVms: () => number;
  readonly weightLoadMs: () => number;
  readonly events?: EventLog;
  /** Called with the fence after the lease was acquired. */
  readonly onLeaseAcquired?: (fence: Fence) => void;
}

/** Each renewal is an append to the log, which accepts only a few hundred per second in total. */
const renewIntervalMs = 3_000;
const acquireIntervalMs = 2_000;
const maxCreatesPerTick = 16;
/** Load falls and rises again within minutes, and replacing a deleted VM costs a weight load. */
const scaleDownDelayMs = 600_000;
const deleteIntervalMs = 60_000;
/** A VM is announced to all daemons as leaving this long before it is deleted. */
const drainMs = 120_000;
/** Shortest time between two replacements while a data source is stale. */
const staleCreateIntervalMs = 60_000;
const offersMaxAgeMs = 60_000;
/** A created VM is gone if it is missing from a list that is at least this much newer. */
const unlistedGraceMs = 120_000;
const reclaimWindowMs = 6 * 3_600_000;

/**
 * Keeps the VMs of one service in one region in line with their plan while it holds the lease.
 *
 * Each VM creation is stored before it is sent. This holder or the next one repeats it with the
 * same token until the cloud responds, so that a lost response never starts a second VM.
 *
 * @example
 * ```ts
 * const controller = new FleetController(options);
 * clock.every(1_000, () => void controller.tick());
 * ```
 */
export class FleetController {
  readonly leaseName: string;
  readonly #options: FleetControllerOptions;
  readonly #events: EventLog;
  readonly #planner = new CapacityPlanner();
  readonly #backoff: RefusalBackoff;
  /**
   * VMs seen in the previous round; one that is missing now and known to be leaving counts as lost.
   */
  #knownVms = new Map<string, PlannedVm>();
  readonly #reclaims: { readonly failureDomain: string; readonly atMs: number }[] = [];
  #unreplacedLosses = 0;
  #offers: readonly VmOffer[] = [];
  #offersAtMs = -Infinity;
  #surplusSinceMs: number | undefined;
  #nextDeleteAtMs = 0;
  #nextStaleCreateAtMs = 0;
  #lastSlot = 0;
  #nextLeaseAtMs = 0;
  /** VMs that this controller deleted; the cloud's list contains them for a while. */
  readonly #deletedVmIds = new LRUCache<string, true>({ max: 1_000 });
  #isTicking = false;
  #fence: Fence | undefined;
  #isStaleReported = false;

  constructor(options: FleetControllerOptions) {
    this.#options = options;
    this.#events = options.events ?? new NullEventLog();
    this.#backoff = new RefusalBackoff(options.clock, options.random);
    this.leaseName = `control/${options.serviceId}/${options.region}`;
  }

  /** Whether this daemon holds the lease. */
  get isLeaseHolder(): boolean {
    return this.#options.leases.isHeld(this.leaseName);
  }

  /** Kinds of VMs that are not tried now because the cloud refused to start them. */
  get refusedStarts(): readonly BlockedOffer[] {
    return this.#backoff.blocked();
  }

  /** Runs one control round; overlapping calls return at once. */
  async tick(): Promise<void> {
    if (this.#isTicking) return;
    this.#isTicking = true;
    try {
      const fence = await this.#maintainLease();
      if (fence !== undefined) await this.#reconcile(fence);
    } catch (error) {
      // The lease or the log is unavailable; the next round starts from the stored state.
      this.#events.warn(EventId.ControlRoundFailed, 'control round failed; retrying next round', {
        lease: this.leaseName,
        reason: error instanceof Error ? error.message : String(error),
      });
    } finally {
      this.#isTicking = false;
    }
  }

  async #maintainLease(): Promise<Fence | undefined> {
    const { leases, freshness, clock, isCandidate, random } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs >= this.#nextLeaseAtMs) {
      if (leases.isHeld(this.leaseName)) {
        this.#nextLeaseAtMs = nowMs + renewIntervalMs;
        if (await leases.renew(this.leaseName)) freshness.markSeen(DataSource.Log);
      } else if (isCandidate()) {
        this.#nextLeaseAtMs = nowMs + acquireIntervalMs * (0.5 + random.float());
        if ((await leases.acquire(this.leaseName)) !== undefined)
          freshness.markSeen(DataSource.Log);
      }
    }
    const fence = leases.isHeld(this.leaseName) ? leases.fence(this.leaseName) : undefined;
    if (fence !== this.#fence) this.#onFenceChange(fence);
    return fence;
  }

  #onFenceChange(fence: Fence | undefined): void {
    this.#fence = fence;
    // Losses seen under an earlier lease may have been replaced by another holder since then.
    this.#knownVms = new Map();
    this.#unreplacedLosses = 0;
    this.#surplusSinceMs = undefined;
    if (fence === undefined) {
      this.#events.info(EventId.ControlLeaseLost, 'lease lost', {
        lease: this.leaseName,
      });
      return;
    }
    this.#events.info(EventId.ControlLeaseTaken, 'lease acquired', {
      lease: this.leaseName,
      fence,
    });
    this.#options.onLeaseAcquired?.(fence);
  }

  async #reconcile(fence: Fence): Promise<void> {
    const settings = this.#options.settings();
    if (!settings) return;
    await this.#retryOpenIntents(fence);
    await this.#refreshOffers();
    const vms = await this.#observeVms(fence);
    // Before the first list, every VM would appear to be missing.
    if (!vms) return;
    const { creates, deletes } = this.#planner.plan({
      targetVms: this.#options.targetVms(),
      settings,
      vms,
      offers: this.#offers.filter((offer) => !this.#backoff.isBlocked(offer)),
      reclaimsPerHour: (failureDomain) => this.#reclaimsPerHour(failureDomain, vms),
      weightLoadMs: this.#options.weightLoadMs(),
    });
    const allowed = this.#limitCreates(creates);
    await this.#createVms(allowed, fence);
    if (this.#options.freshness.isFresh()) {
      this.#drainSurplus(deletes);
      await this.#deleteDrained();
    }
  }

  /** While any data source is stale, allows only single replacements of VMs seen lost here. */
  #limitCreates(creates: readonly VmOffer[]): readonly VmOffer[] {
    const { freshness, clock } = this.#options;
    if (freshness.isFresh()) {
      this.#unreplacedLosses = 0;
      this.#isStaleReported = false;
      return creates.slice(0, maxCreatesPerTick);
    }
    if (!this.#isStaleReported) {
      this.#isStaleReported = true;
      this.#events.warn(EventId.ControlStale, 'data is stale; replacing only single lost VMs', {
        lease: this.leaseName,
        sources: freshness.stale().join(','),
      });
    }
    const nowMs = clock.nowMs();
    if (this.#unreplacedLosses === 0 || nowMs < this.#nextStaleCreateAtMs) return [];
    const allowed = creates.slice(0, 1);
    if (allowed.length > 0) {
      this.#unreplacedLosses -= 1;
      this.#nextStaleCreateAtMs = nowMs + staleCreateIntervalMs;
    }
    return allowed;
  }

  /** VMs that are running or being created; undefined before the first list. */
  async #observeVms(fence: Fence): Promise<PlannedVm[] | undefined> {
    const { list: newest, intents, leaving, serviceId, region, clock } = this.#options;
    const list = newest();
    if (!list) return undefined;
    const vms = new Map<string, PlannedVm>();
    const listedTokens = new Set<string>();
    for (const vm of list.vms) {
      if (vm.serviceId !== serviceId || vm.region !== region) continue;
      listedTokens.add(vm.token);
      if (!leaving.findEntry(vm.vmId, vm.startedAtMs)) vms.set(vm.vmId, plannedOf(vm.vmId, vm));
    }
    for (const intent of intents.intentsOf(this.leaseName)) {
      const { request, state, vmId, recordedAtMs } = intent;
      if (state === IntentState.Refused || listedTokens.has(request.token)) continue;
      const isGone =
        vmId !== undefined &&
        (leaving.findEntry(vmId, recordedAtMs) !== undefined ||
          list.asOfMs > recordedAtMs + unlistedGraceMs);
      if (isGone) await intents.deleteIntent(this.leaseName, request.token, fence);
      else vms.set(vmId ?? request.token, plannedOf(vmId ?? request.token, request));
    }
    this.#recordLosses(vms, clock.nowMs());
    return [...vms.values()];
  }

  #recordLosses(vms: ReadonlyMap<string, PlannedVm>, nowMs: number): void {
    for (const [vmId, { failureDomain }] of this.#knownVms) {
      if (vms.has(vmId) || !this.#options.leaving.findEntry(vmId, 0)) continue;
      this.#reclaims.push({ failureDomain, atMs: nowMs });
      this.#unreplacedLosses += 1;
    }
    this.#knownVms = new Map(vms);
    while ((this.#reclaims[0]?.atMs ?? nowMs) < nowMs - reclaimWindowMs) this.#reclaims.shift();
  }

  #reclaimsPerHour(failureDomain: string, vms: readonly PlannedVm[]): number {
    const lost = this.#reclaims.filter((reclaim) => reclaim.failureDomain === failureDomain).length;
    const count = vms.filter((vm) => vm.failureDomain === failureDomain).length;
    return lost / (Math.max(1, count) * (reclaimWindowMs / 3_600_000));
  }

  async #refreshOffers(): Promise<void> {
    const { cloud, region, clock, freshness } = this.#options;
    if (clock.nowMs() - this.#offersAtMs < offersMaxAgeMs) return;
    try {
      this.#offers = await cloud.offers(region);
      this.#offersAtMs = clock.nowMs();
      freshness.markSeen(DataSource.Cloud);
    } catch {
      // Old prices are better than none; the freshness of the cloud's data limits their effect.
    }
  }

  async #createVms(offers: readonly VmOffer[], fence: Fence): Promise<void> {
    const { intents, serviceId, region, clock } = this.#options;
    // Slots are never reused under one fence: a reused token would return a VM that is gone.
    const slots = intents.intentsOf(this.leaseName).map(({ slot }) => slot);
    let slot = Math.max(this.#lastSlot, ...slots);
    const recorded: CreateIntent[] = [];
    for (const offer of offers) {
      slot += 1;
      this.#lastSlot = slot;
      const intent: CreateIntent = {
        request: {
          token: `${serviceId}/${region}/${fence}/${slot}`,
          serviceId,
          region,
          failureDomain: offer.failureDomain,
          vmClass: offer.vmClass,
          reclaimable: offer.reclaimable,
        },
        slot,
        recordedAtMs: clock.nowMs(),
        state: IntentState.Open,
        vmId: undefined,
      };
      await intents.recordIntent(this.leaseName, intent, fence);
      recorded.push(intent);
    }
    await Promise.all(recorded.map((intent) => this.#sendCreate(intent, fence)));
  }

  /** Repeats VM creations without a response, regardless of which holder stored them. */
  async #retryOpenIntents(fence: Fence): Promise<void> {
    const open = this.#options.intents
      .intentsOf(this.leaseName)
      .filter(({ state }) => state === IntentState.Open);
    await Promise.all(open.map((intent) => this.#sendCreate(intent, fence)));
  }

  async #sendCreate(intent: CreateIntent, fence: Fence): Promise<void> {
    const { cloud, leases, intents, freshness } = this.#options;
    const { request } = intent;
    // Checked in the same event loop turn that writes the request: a holder whose lease expired
    // during a pause stops here.
    if (!leases.isHeld(this.leaseName) || leases.fence(this.leaseName) !== fence) return;
    try {
      const vmId = await cloud.createVm(request);
      freshness.markSeen(DataSource.Cloud);
      this.#backoff.accepted(request);
      this.#events.info(EventId.VmCreated, 'VM created', fieldsOf(request, vmId));
      await intents.recordIntent(
        this.leaseName,
        { ...intent, state: IntentState.Created, vmId },
        fence,
      );
    } catch (error) {
      if (!(error instanceof StartRefusedError)) {
        this.#events.warn(EventId.CreateUnanswered, 'VM creation not confirmed; retrying', {
          token: request.token,
        });
        return;
      }
      freshness.markSeen(DataSource.Cloud);
      this.#backoff.refused(request);
      this.#events.warn(
        EventId.StartRefused,
        'cloud refused to start a VM; backing off',
        fieldsOf(request),
      );
      await intents.deleteIntent(this.leaseName, request.token, fence);
    }
  }

  #drainSurplus(deletes: readonly PlannedVm[]): void {
    const { clock, leaving } = this.#options;
    const nowMs = clock.nowMs();
    const [vm] = deletes;
    if (!vm) {
      this.#surplusSinceMs = undefined;
      return;
    }
    this.#surplusSinceMs ??= nowMs;
    if (nowMs - this.#surplusSinceMs < scaleDownDelayMs || nowMs < this.#nextDeleteAtMs) return;
    this.#nextDeleteAtMs = nowMs + deleteIntervalMs;
    // A planned deletion is announced like a reclaim, so that jobs and streams are moved in time.
    // It is not a loss to replace.
    this.#knownVms.delete(vm.vmId);
    leaving.mergeLocal([vmLeavingEntry(vm.vmId, nowMs + drainMs, LeavingSource.Notice, nowMs)]);
  }

  /** Deletes listed VMs that are past their leaving deadline, regardless of who announced it. */
  async #deleteDrained(): Promise<void> {
    const { cloud, clock, leases, leaving, list, serviceId, region } = this.#options;
    for (const vm of list()?.vms ?? []) {
      if (vm.serviceId !== serviceId || vm.region !== region) continue;
      const entry = leaving.findEntry(vm.vmId, vm.startedAtMs);
      if (!entry || entry.leavingAtMs > clock.nowMs() || this.#deletedVmIds.has(vm.vmId)) continue;
      if (!leases.isHeld(this.leaseName)) return;
      await cloud.deleteVm(vm.vmId);
      this.#deletedVmIds.set(vm.vmId, true);
      this.#events.info(EventId.VmDeleted, 'VM deleted after its leaving deadline', {
        vmId: vm.vmId,
      });
    }
  }
}

function plannedOf(vmId: string, request: VmRequest): PlannedVm {
  const { failureDomain, vmClass, reclaimable } = request;
  return { vmId, failureDomain, vmClass, reclaimable };
}

function fieldsOf(request: VmRequest, vmId?: string): Record<string, string> {
  const { serviceId, failureDomain, token } = request;
  return { service: serviceId, failureDomain, token, ...(vmId === undefined ? {} : { vmId }) };
}
