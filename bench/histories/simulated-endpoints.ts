import { Outcome, type Clock, type Random } from '../../src/core/index.js';
import {
  EngineClient,
  EngineError,
  EngineFailure,
  GenerationEventKind,
  type GenerationEvent,
  type GenerationRequest,
  type LoadReport,
} from '../../src/engine/index.js';
import { processSubject, type LeavingEntry, type VmList } from '../../src/fleet/index.js';
import { Deployment } from '../../src/settings/index.js';
import { HistoryKind, type HistoryRecorder } from './history.js';
import type { SimulatedProcess } from './process.js';

export const regions = ['north', 'south'] as const;
const endpointsPerRegion = 3;
/** Silence of a stream after which, and at which interval, the client reports it; bound of a connect. */
const idleTimeoutMs = 3_000;
const connectMs = 1_000;
const tokenGapMs = 100;

/** One run of an engine at an address. */
export interface EngineRun {
  readonly vmId: string;
  readonly vmStartedAtMs: number;
  readonly startedAtMs: number;
  isLost: boolean;
  /** Its health answers say that it takes no new work. */
  isDraining: boolean;
  /** A draining engine that takes the work all the same, so that only the daemons can hold back. */
  readonly isLenient: boolean;
  /** Since when the cloud's list shows it as leaving, and when it goes. */
  leaving: { readonly sinceMs: number; readonly atMs: number } | undefined;
}

/** An address at which one engine after another runs. */
export interface EnginePlace {
  readonly name: string;
  readonly region: string;
  run: EngineRun;
}

/** Options of {@link SimulatedEndpoints}. */
export interface SimulatedEndpointsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly history: HistoryRecorder;
}

/** The engines of chats, what the cloud knows about their VMs, and the link between regions. */
export class SimulatedEndpoints {
  readonly places: EnginePlace[] = [];
  readonly #options: SimulatedEndpointsOptions;
  /** All VMs ever, for lists that describe an earlier time. */
  readonly #vms: { readonly run: EngineRun; readonly region: string; endedAtMs: number }[] = [];
  /** Runs that were signalled to leave, with the daemon runs that know. */
  readonly #signals = new Map<
    EngineRun,
    { readonly knownBy: Set<string>; readonly heldUpSinceMs: Map<string, number> }
  >();
  #vmCount = 0;
  #cutUntilMs = 0;
  /** Faults of single generations; ended with the other faults. */
  hasFaults = true;

  constructor(options: SimulatedEndpointsOptions) {
    this.#options = options;
    for (const region of regions) {
      for (let index = 0; index < endpointsPerRegion; index++) {
        const run = this.#newRun(`vm-${++this.#vmCount}`, options.clock.nowMs() - 1_000, region);
        this.places.push({ name: `tejidos/${region}-${index}`, region, run });
      }
    }
  }

  /** Cuts the link between the regions. */
  cut(untilMs: number): void {
    this.#cutUntilMs = Math.max(this.#cutUntilMs, untilMs);
  }

  heal(): void {
    this.#cutUntilMs = 0;
    this.hasFaults = false;
  }

  isCut(from: string, to: string): boolean {
    return from !== to && this.#options.clock.nowMs() < this.#cutUntilMs;
  }

  /** Starts an engine at an address, on a new VM or on the one that was there. */
  replace(place: EnginePlace, isNewVm: boolean): void {
    const nowMs = this.#options.clock.nowMs();
    place.run.isLost = true;
    for (const vm of this.#vms) if (vm.run === place.run) vm.endedAtMs = nowMs;
    const vmId = isNewVm ? `vm-${++this.#vmCount}` : place.run.vmId;
    place.run = this.#newRun(vmId, nowMs, place.region);
  }

  /** Settings that name the endpoints as they are now. */
  deployment(): Deployment {
    const sections = new Map<string, Record<string, string>>([
      ['prod/tejidos/services/chat', { kind: 'engine', models: 'm' }],
      ['prod/tejidos/workspaces/quotes', { services: 'chat' }],
      // Histories hedge and retry far more often than a deployment would.
      ['prod/tejidos/routing/chat', { hedge_ratio: '0.5', retry_ratio: '0.5' }],
    ]);
    for (const { name, region, run } of this.places) {
      const id = name.split('/')[1] ?? '';
      sections.set(`prod/tejidos/endpoints/${id}`, {
        service: 'chat',
        base_url: `http://${id}:8000`,
        region,
        failure_domain: `${region}-a`,
        vm_id: run.vmId,
      });
    }
    return Deployment.from(sections);
  }

  /** The cloud's list of a region as it was at `asOfMs`. */
  list(region: string, asOfMs: number): VmList {
    const vms = this.#vms
      .filter((vm) => vm.region === region && vm.run.vmStartedAtMs <= asOfMs)
      .filter((vm) => vm.endedAtMs > asOfMs)
      .map(({ run }) => ({
        vmId: run.vmId,
        startedAtMs: run.vmStartedAtMs,
        leavingAtMs: run.leaving && run.leaving.sinceMs <= asOfMs ? run.leaving.atMs : undefined,
      }));
    return { asOfMs, vms };
  }

  /** Notes what a run of a daemon has learned, from its own signals or from a peer. */
  learned(entries: readonly LeavingEntry[], daemonRun: string): void {
    for (const { subject, upToIncarnation } of entries) {
      for (const { name, run } of this.places) {
        const isNamed = subject === run.vmId || subject === processSubject(run.vmId, name);
        if (isNamed && run.startedAtMs <= upToIncarnation) this.signalled(run, daemonRun);
      }
    }
  }

  signalled(run: EngineRun, daemonRun: string): void {
    let signal = this.#signals.get(run);
    if (!signal) {
      signal = { knownBy: new Set(), heldUpSinceMs: new Map() };
      this.#signals.set(run, signal);
      const endpointId = identityOf(run);
      this.#options.history.record({ kind: HistoryKind.EndpointLeaving, endpointId });
    }
    signal.knownBy.add(daemonRun);
  }

  /** Follows which regions no signal can reach. @param running - unpaused daemon runs. */
  observe(running: readonly { readonly run: string; readonly region: string }[]): void {
    const { clock, history } = this.#options;
    const nowMs = clock.nowMs();
    for (const [run, { knownBy, heldUpSinceMs }] of this.#signals) {
      const knowing = running.filter((daemon) => knownBy.has(daemon.run));
      for (const region of regions) {
        const isHeldUp = !knowing.some((daemon) => !this.isCut(daemon.region, region));
        const sinceMs = heldUpSinceMs.get(region);
        if (isHeldUp && sinceMs === undefined) heldUpSinceMs.set(region, nowMs);
        if (isHeldUp || sinceMs === undefined) continue;
        heldUpSinceMs.delete(region);
        const endpointId = identityOf(run);
        history.record(
          { kind: HistoryKind.SignalHeldUp, endpointId, region, untilMs: nowMs },
          sinceMs,
        );
      }
    }
  }

  /** Ends the observation: what is held up now stays so. */
  endObservation(): void {
    for (const [run, { heldUpSinceMs }] of this.#signals) {
      for (const [region, sinceMs] of heldUpSinceMs) {
        const endpointId = identityOf(run);
        this.#options.history.record(
          { kind: HistoryKind.SignalHeldUp, endpointId, region, untilMs: Infinity },
          sinceMs,
        );
      }
    }
  }

  /** Reclaims of a region's VMs that were announced so far; a daemon reads all of them at its start. */
  notices(region: string): ReadonlyMap<string, number> {
    return new Map(
      this.#vms
        .filter((vm) => vm.region === region && vm.endedAtMs === Infinity)
        .flatMap(({ run }) => (run.leaving ? [[run.vmId, run.leaving.atMs] as const] : [])),
    );
  }

  clientFor(name: string, region: string, process: SimulatedProcess): EngineClient {
    const place = this.places.find((candidate) => candidate.name === name);
    if (!place) throw new RangeError(`no place is named ${name}`);
    return new SimulatedEngineClient(this.#options, this, place, region, process);
  }

  #newRun(vmId: string, startedAtMs: number, region: string): EngineRun {
    const run = {
      vmId,
      vmStartedAtMs: startedAtMs,
      startedAtMs,
      isLost: false,
      isDraining: false,
      isLenient: this.#options.random.float() < 0.5,
      leaving: undefined,
    };
    this.#vms.push({ run, region, endedAtMs: Infinity });
    return run;
  }
}

/** Identity in the history; independent of the product's own. */
export function identityOf({ vmId, startedAtMs }: EngineRun): string {
  return `${vmId}@${startedAtMs}`;
}

/** Read through a function, as the state changes while a generation waits. */
function isGone({ isLost }: EngineRun): boolean {
  return isLost;
}

function isAborted({ aborted }: AbortSignal): boolean {
  return aborted;
}

/** What goes wrong in one generation. */
enum GenerationFault {
  None = 'none',
  /** 429 before anything ran. */
  Busy = 'busy',
  /** Breaks before the first token, after the work began. */
  BrokenEarly = 'broken_early',
  Broken = 'broken',
  Silent = 'silent',
  SlowStart = 'slow_start',
}

const generationFaults: readonly (readonly [number, GenerationFault])[] = [
  [0.06, GenerationFault.Busy],
  [0.12, GenerationFault.BrokenEarly],
  [0.22, GenerationFault.Broken],
  [0.3, GenerationFault.Silent],
  [0.45, GenerationFault.SlowStart],
];

/** Connection of one daemon to the engine at an address, whichever runs there. */
class SimulatedEngineClient extends EngineClient {
  readonly #options: SimulatedEndpointsOptions;
  readonly #endpoints: SimulatedEndpoints;
  readonly #place: EnginePlace;
  readonly #region: string;
  readonly #process: SimulatedProcess;

  constructor(
    options: SimulatedEndpointsOptions,
    endpoints: SimulatedEndpoints,
    place: EnginePlace,
    region: string,
    process: SimulatedProcess,
  ) {
    super();
    this.#options = options;
    this.#endpoints = endpoints;
    this.#place = place;
    this.#region = region;
    this.#process = process;
  }

  override generate(
    request: GenerationRequest,
    onEvent: (event: GenerationEvent) => void | Promise<void>,
    signal: AbortSignal,
  ): Promise<void> {
    const send = async (event: GenerationEvent): Promise<void> => {
      await this.#process.deliver(Promise.resolve());
      if (!signal.aborted) await onEvent(event);
    };
    // A crashed daemon's continuations must not reach an engine.
    if (this.#process.isCrashed) return new Promise(() => undefined);
    return this.#process.deliver(this.#run(request, send, signal));
  }

  override async cancel(): Promise<void> {
    // The abort signal has ended the stream already.
  }

  override load(): Promise<LoadReport> {
    return Promise.reject(new Error('histories use no load reports'));
  }

  async #run(
    request: GenerationRequest,
    send: (event: GenerationEvent) => Promise<void>,
    signal: AbortSignal,
  ): Promise<void> {
    const { random, history } = this.#options;
    const fault = this.#drawFault();
    await this.#sleep(this.#region === this.#place.region ? 1 : 12, signal);
    const { run } = this.#place;
    if (run.isLost || this.#isCut()) {
      await this.#sleep(connectMs, signal);
      throw this.#error(EngineFailure.ConnectionFailed, Outcome.NotRun);
    }
    if (fault === GenerationFault.Busy || (run.isDraining && !run.isLenient)) {
      throw this.#error(EngineFailure.Rejected, Outcome.NotRun);
    }
    const workId = request.messages[0]?.content ?? '';
    const region = this.#region;
    const endpointId = identityOf(run);
    history.record({ kind: HistoryKind.WorkAssigned, endpointId, workId, region });
    history.record({ kind: HistoryKind.WorkRan, workId, key: '' });
    const faultAt = fault === GenerationFault.BrokenEarly ? 0 : random.int(0, request.maxTokens);
    if (fault === GenerationFault.SlowStart) await this.#sleep(random.int(300, 2_500), signal);
    const start = request.resumeText.split(' ').length - 1;
    for (let sent = 0; sent < request.maxTokens; sent++) {
      await this.#sleep(tokenGapMs, signal);
      const breaks = fault === GenerationFault.Broken || fault === GenerationFault.BrokenEarly;
      if (signal.aborted || isGone(run) || (breaks && sent === faultAt)) {
        throw this.#error(EngineFailure.Broken, Outcome.Unknown);
      }
      const isSilentForGood = fault === GenerationFault.Silent && sent === faultAt;
      while (!isAborted(signal) && (isSilentForGood || this.#isCut())) {
        await this.#sleep(idleTimeoutMs, signal);
        if (!isAborted(signal)) await send({ kind: GenerationEventKind.Silence });
      }
      if (isAborted(signal)) throw this.#error(EngineFailure.Broken, Outcome.Unknown);
      const text = `${workId}:${start + sent} `;
      await send({ kind: GenerationEventKind.Token, text, chunkJson: '{}' });
    }
    await send({
      kind: GenerationEventKind.End,
      finishReason: 'stop',
      promptTokens: 1,
      cachedTokens: 0,
      completionTokens: request.maxTokens,
    });
  }

  #drawFault(): GenerationFault {
    if (!this.#endpoints.hasFaults) return GenerationFault.None;
    const draw = this.#options.random.float();
    return generationFaults.find(([limit]) => draw < limit)?.[1] ?? GenerationFault.None;
  }

  #isCut(): boolean {
    return this.#endpoints.isCut(this.#region, this.#place.region);
  }

  #sleep(ms: number, signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    return clock.sleepUntil(clock.nowMs() + ms, signal);
  }

  #error(failure: EngineFailure, outcome: Outcome): EngineError {
    return new EngineError(`the engine failed: ${failure}`, {
      peer: this.#place.name,
      failure,
      outcome,
    });
  }
}
