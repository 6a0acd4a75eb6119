import { OrioleError, Step } from '../core/index.js';
import type { ListedVm, VmList } from '../fleet/index.js';

/** What to start. */
export interface VmRequest {
  /** Client token: two requests with one token start one VM. */
  readonly token: string;
  readonly serviceId: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly vmClass: string;
  readonly reclaimable: boolean;
}

/** A VM in the cloud's list, with what it was started for. */
export interface CloudVm extends ListedVm, VmRequest {
  /** Base URLs of the endpoints on the VM, in a fixed order; empty until they have started. */
  readonly baseUrls: readonly string[];
  readonly priceUsdPerHour: number;
}

/** {@link VmList} with the details that the controller needs. */
export interface CloudVmList extends VmList {
  readonly vms: readonly CloudVm[];
}

/** Announcement that a VM will be reclaimed. */
export interface ReclaimNotice {
  readonly sequence: number;
  readonly vmId: string;
  /** Time of the reclaim in epoch milliseconds. */
  readonly reclaimAtMs: number;
}

/** A kind of VM that can be bought. */
export interface VmOffer {
  readonly failureDomain: string;
  readonly vmClass: string;
  readonly reclaimable: boolean;
  readonly priceUsdPerHour: number;
}

/** The cloud refused to start a VM: none was started. */
export class StartRefusedError extends OrioleError {
  constructor(message: string, peer: string) {
    super(message, { step: Step.Capacity, peer });
  }
}

/** The cloud API did not answer; an operation may have taken effect. */
export class CloudUnavailableError extends OrioleError {
  constructor(message: string, peer: string, cause?: unknown) {
    super(message, { step: Step.Capacity, peer, cause });
  }
}

/**
 * The cloud in which endpoints run.
 *
 * @example
 * ```ts
 * const vmId = await cloud.createVm({ token, serviceId, region, failureDomain, vmClass, reclaimable });
 * ```
 */
export abstract class CloudApi {
  /**
   * Starts a VM, or finds the one started earlier with the same token.
   *
   * @returns the VM id.
   * @throws StartRefusedError when none was started.
   * @throws CloudUnavailableError when it is unknown whether one was started; repeat with the token.
   */
  abstract createVm(request: VmRequest): Promise<string>;

  /** Ends a VM; unknown ids are ignored. @throws CloudUnavailableError */
  abstract deleteVm(vmId: string): Promise<void>;

  /** List of VMs as it was some time ago. @throws CloudUnavailableError */
  abstract listVms(region: string): Promise<CloudVmList>;

  /**
   * Reclaim notices of a region after a sequence number, oldest first; waits up to `waitMs` for one.
   *
   * @throws CloudUnavailableError
   */
  abstract notices(
    region: string,
    afterSequence: number,
    waitMs: number,
  ): Promise<readonly ReclaimNotice[]>;

  /** Prices now. @throws CloudUnavailableError */
  abstract offers(region: string): Promise<readonly VmOffer[]>;
}
