import {
  CloudApi,
  CloudUnavailableError,
  StartRefusedError,
  type CloudVm,
  type CloudVmList,
  type ReclaimNotice,
  type VmOffer,
  type VmRequest,
} from '../capacity/index.js';
import type { Clock } from '../core/index.js';

/** Faults of {@link MemoryCloud}, changed at any time. */
export interface CloudFaults {
  /** No call is answered, and none takes effect. */
  isDown: boolean;
  /** Creates take effect, but their answers are lost. */
  losesCreateAnswers: boolean;
  /** The list and its time stand still. */
  isListFrozen: boolean;
  /** Starts that are refused. */
  refuses: (request: VmRequest) => boolean;
}

/** Options of {@link MemoryCloud}. */
export interface MemoryCloudOptions {
  readonly clock: Clock;
  readonly offers: readonly VmOffer[];
  /** Age of the list. */
  readonly listLagMs?: number;
  /** Starts the endpoints of a new VM. @returns their base URLs. */
  readonly onStart?: (vm: CloudVm) => Promise<readonly string[]>;
  /** Ends what runs on a VM that is deleted or reclaimed. */
  readonly onEnd?: (vm: CloudVm) => void;
}

interface StoredVm extends CloudVm {
  readonly endedAtMs: number | undefined;
}

/**
 * {@link CloudApi} in memory with a list that lags, reclaim waves, refused starts and lost answers.
 *
 * @example
 * ```ts
 * const cloud = new MemoryCloud({ clock, offers });
 * cloud.reclaimDomain('seoul-a', 15_000);
 * ```
 */
export class MemoryCloud extends CloudApi {
  readonly faults: CloudFaults = {
    isDown: false,
    losesCreateAnswers: false,
    isListFrozen: false,
    refuses: () => false,
  };
  readonly #clock: Clock;
  readonly #offers: readonly VmOffer[];
  readonly #listLagMs: number;
  readonly #options: MemoryCloudOptions;
  readonly #history: { readonly atMs: number; readonly vms: ReadonlyMap<string, StoredVm> }[] = [];
  #vms = new Map<string, StoredVm>();
  readonly #notices: (ReclaimNotice & { readonly region: string })[] = [];
  readonly #waiters = new Set<() => void>();
  #nextVm = 1;
  #frozen: CloudVmList | undefined;

  constructor(options: MemoryCloudOptions) {
    super();
    this.#options = options;
    this.#clock = options.clock;
    this.#offers = options.offers;
    this.#listLagMs = options.listLagMs ?? 10_000;
    this.#remember();
  }

  /** VMs that run now and are paid. */
  running(): CloudVm[] {
    return [...this.#vms.values()].filter(({ endedAtMs }) => endedAtMs === undefined);
  }

  /** Takes in a VM that ran before this cloud was watched: every list shows it. */
  adopt(vm: CloudVm): void {
    const stored = { ...vm, endedAtMs: undefined };
    this.#vms = new Map(this.#vms).set(vm.vmId, stored);
    const earlier = this.#history.splice(0);
    this.#history.push({ atMs: -Infinity, vms: new Map([[vm.vmId, stored]]) });
    for (const { atMs, vms } of earlier) {
      this.#history.push({ atMs, vms: new Map(vms).set(vm.vmId, stored) });
    }
  }

  /** All VMs ever started. */
  get startedCount(): number {
    return this.#nextVm - 1;
  }

  /** Announces the reclaim of all reclaimable VMs of a failure domain. */
  reclaimDomain(failureDomain: string, noticeMs: number): void {
    for (const vm of this.running()) {
      if (vm.failureDomain === failureDomain && vm.reclaimable) this.reclaim(vm.vmId, noticeMs);
    }
  }

  /** Announces the reclaim of one VM and carries it out after `noticeMs`. */
  reclaim(vmId: string, noticeMs: number): void {
    const vm = this.#vms.get(vmId);
    if (!vm) return;
    const reclaimAtMs = this.#clock.nowMs() + noticeMs;
    this.#change(vmId, { ...vm, leavingAtMs: reclaimAtMs });
    this.#notices.push({
      sequence: this.#notices.length + 1,
      vmId,
      reclaimAtMs,
      region: vm.region,
    });
    for (const wake of [...this.#waiters]) wake();
    this.#clock.schedule(reclaimAtMs, () => {
      this.#end(vmId);
    });
  }

  override async createVm(request: VmRequest): Promise<string> {
    this.#checkUp();
    const known = [...this.#vms.values()].find(({ token }) => token === request.token);
    if (!known && this.faults.refuses(request)) {
      throw new StartRefusedError(`no capacity in ${request.failureDomain}`, 'memory-cloud');
    }
    const vmId = known?.vmId ?? `vm-${this.#nextVm++}`;
    if (!known) {
      this.#change(vmId, {
        ...request,
        vmId,
        startedAtMs: this.#clock.nowMs(),
        leavingAtMs: undefined,
        baseUrls: [],
        priceUsdPerHour: this.#priceOf(request),
        endedAtMs: undefined,
      });
      void this.#startEndpoints(vmId);
    }
    if (this.faults.losesCreateAnswers) {
      await this.#clock.sleepUntil(this.#clock.nowMs() + 1_000);
      throw new CloudUnavailableError('no answer to the create', 'memory-cloud');
    }
    return vmId;
  }

  override async deleteVm(vmId: string): Promise<void> {
    this.#checkUp();
    this.#end(vmId);
  }

  override async listVms(region: string): Promise<CloudVmList> {
    this.#checkUp();
    if (this.faults.isListFrozen && this.#frozen) return this.#frozen;
    const asOfMs = this.#clock.nowMs() - this.#listLagMs;
    const state = this.#history.findLast(({ atMs }) => atMs <= asOfMs)?.vms ?? new Map();
    const vms = [...(state as ReadonlyMap<string, StoredVm>).values()].filter(
      (vm) => vm.region === region && vm.endedAtMs === undefined,
    );
    this.#frozen = { asOfMs, vms };
    return this.#frozen;
  }

  override async notices(
    region: string,
    afterSequence: number,
    waitMs: number,
  ): Promise<readonly ReclaimNotice[]> {
    this.#checkUp();
    const due = (): ReclaimNotice[] =>
      this.#notices.filter((notice) => notice.region === region && notice.sequence > afterSequence);
    if (due().length === 0 && waitMs > 0) {
      const wake = new AbortController();
      const onNotice = (): void => {
        wake.abort();
      };
      this.#waiters.add(onNotice);
      await this.#clock.sleepUntil(this.#clock.nowMs() + waitMs, wake.signal);
      this.#waiters.delete(onNotice);
    }
    this.#checkUp();
    return due();
  }

  override async offers(region: string): Promise<readonly VmOffer[]> {
    this.#checkUp();
    return this.#offers.filter(({ failureDomain }) => failureDomain.startsWith(region));
  }

  #checkUp(): void {
    if (this.faults.isDown) throw new CloudUnavailableError('the cloud is down', 'memory-cloud');
  }

  #priceOf({ failureDomain, vmClass, reclaimable }: VmRequest): number {
    return (
      this.#offers.find(
        (offer) =>
          offer.failureDomain === failureDomain &&
          offer.vmClass === vmClass &&
          offer.reclaimable === reclaimable,
      )?.priceUsdPerHour ?? 1
    );
  }

  async #startEndpoints(vmId: string): Promise<void> {
    const vm = this.#vms.get(vmId);
    if (!vm || !this.#options.onStart) return;
    const baseUrls = await this.#options.onStart(vm);
    const current = this.#vms.get(vmId);
    if (current) this.#change(vmId, { ...current, baseUrls });
  }

  #end(vmId: string): void {
    const vm = this.#vms.get(vmId);
    if (vm?.endedAtMs === undefined && vm) {
      this.#change(vmId, { ...vm, endedAtMs: this.#clock.nowMs() });
      this.#options.onEnd?.(vm);
    }
  }

  #change(vmId: string, vm: StoredVm): void {
    this.#vms = new Map(this.#vms).set(vmId, vm);
    this.#remember();
  }

  #remember(): void {
    this.#history.push({ atMs: this.#clock.nowMs(), vms: this.#vms });
  }
}
