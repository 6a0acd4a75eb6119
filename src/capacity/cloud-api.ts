import { OrioleError, Step } from '../core/index.js';
import type { ListedVm, VmList } from '../fleet/index.js';

/** Request to start a VM. */
export interface VmRequest {
  /** Idempotency token: requests with the same token start a single VM. */
  readonly token: string;
  readonly serviceId: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly vmClass: string;
  readonly reclaimable: boolean;
}

/** A VM in the cloud's list, with the request that started it. */
export interface CloudVm extends ListedVm, VmRequest {
  /** Base URLs of the endpoints on the VM, in a fixed order; empty until they have started. */
  readonly baseUrls: readonly string[];
  readonly priceUsdPerHour: number;
}

/** {@link VmList} with the details that the controller needs. */
export interface CloudVmList extends VmList {
  readonly vms: readonly CloudVm[];
}

/** Notice that the cloud will reclaim a VM. */
export interface ReclaimNotice {
  readonly sequence: number;
  readonly vmId: string;
  /** Time of the reclaim in epoch milliseconds. */
  readonly reclaimAtMs: number;
}

/** A kind of VM that the cloud offers, with its price. */
export interface VmOffer {
  readonly failureDomain: string;
  readonly vmClass: string;
  readonly reclaimable: boolean;
  readonly priceUsdPerHour: number;
}

/** Thrown when the cloud refuses to start a VM; no VM was started. */
export class StartRefusedError extends OrioleError {
  constructor(message: string, peer: string) {
    super(message, { step: Step.Capacity, peer });
  }
}

/** Thrown when a request to the cloud API fails; the operation may have taken effect. */
export class CloudUnavailableError extends OrioleError {
  constructor(message: string, peer: string, cause?: unknown) {
    super(message, { step: Step.Capacity, peer, cause });
  }
}

/**
 * Client of the cloud that runs the VMs of the endpoints.
 *
 * @example
 * ```ts
 * const vmId = await cloud.createVm({ token, serviceId, region, failureDomain, vmClass, reclaimable });
 * ```
 */
export abstract class CloudApi {
  /**
   * Starts a VM, or returns the one started earlier with the same token.
   *
   * @returns the VM id.
   * @throws StartRefusedError when the cloud refused and no VM was started.
   * @throws CloudUnavailableError when it is unknown whether a VM was started; retry with the same
   * token.
   */
  abstract createVm(request: VmRequest): Promise<string>;

  /**
   * Deletes a VM; unknown ids are ignored.
   *
   * @throws CloudUnavailableError when the request fails.
   */
  abstract deleteVm(vmId: string): Promise<void>;

  /**
   * Lists the VMs of a region. The list may lag behind; `asOfMs` is the time that it shows.
   *
   * @throws CloudUnavailableError when the request fails.
   */
  abstract listVms(region: string): Promise<CloudVmList>;

  /**
   * Returns the reclaim notices of a region after a sequence number, oldest first. Waits up to
   * `waitMs` milliseconds for the first one.
   *
   * @throws CloudUnavailableError when the request fails.
   */
  abstract notices(
    region: string,
    afterSequence: number,
    waitMs: number,
  ): Promise<readonly ReclaimNotice[]>;

  /**
   * Returns the current offers of a region.
   *
   * @throws CloudUnavailableError when the request fails.
   */
  abstract offers(region: string): Promise<readonly VmOffer[]>;
}
