import {
  AdminQuery,
  WorkKind,
  WorkState,
  type CapacityStatus,
  type DaemonStatus,
  type DrainResult,
  type EndpointStatus,
  type Explanation as AdminExplanation,
  type MissingDaemon,
  type QueryParams,
  type SettingsInForce,
  type WorkItem,
} from '../admin-api/index.js';
import {
  AdminBackend,
  type AdminPeer,
  type JobCancellation,
  type QueryHandlers,
  type CallResolution,
} from '../admin/index.js';
import type { AdmissionController } from '../admission/index.js';
import { OrioleError, Step, type Clock } from '../core/index.js';
import { withoutTrailingSlashes } from '../core/trailing-slashes.js';
import type { EndpointRegistry, EndpointView } from '../fleet/index.js';
import { MemberStatus, type Membership } from '../membership/index.js';
import type { BurnRecorder } from '../report/index.js';
import type { ExplanationStore } from '../routing/index.js';
import { isPathWithin } from '../settings/index.js';
import {
  ClaimStatus,
  JobStatus,
  ResolutionVerdict,
  type Claim,
  type ConfigFold,
  type Job,
  type StreamReplica,
} from '../state/index.js';
import type { CallsService } from './calls-service.js';
import type { JobsService } from './jobs-service.js';
import type { LogAccess } from './log-access.js';
import type { RoutedSelector } from './routed-selector.js';

/** Options of {@link DaemonAdminBackend}: the components that it reads and acts on. */
export interface DaemonAdminBackendOptions {
  readonly daemon: string;
  readonly deployment: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly startedAtMs: number;
  readonly clock: Clock;
  readonly config: ConfigFold;
  readonly configReplica: StreamReplica;
  readonly log: LogAccess;
  readonly membership: Membership;
  readonly registry: EndpointRegistry;
  readonly selector: RoutedSelector;
  readonly admission: AdmissionController;
  readonly explanations: ExplanationStore;
  readonly burn: BurnRecorder;
  readonly jobs: JobsService;
  readonly calls: CallsService;
  /** Undefined without a cloud API. */
  readonly capacity: () => CapacityStatus | undefined;
  /** Number of callers' requests whose answer is not complete yet. */
  readonly inFlight: () => number;
  readonly state: () => { readonly isReady: boolean; readonly isStopping: boolean };
}

/** Version reported by `oriolectl status`. */
const daemonVersion = '0.1.0';

/** Implements the queries and actions of the administration API on this daemon. */
export class DaemonAdminBackend extends AdminBackend {
  override readonly daemon: string;
  override readonly deployment: string;
  override readonly handlers: QueryHandlers;
  readonly #options: DaemonAdminBackendOptions;

  constructor(options: DaemonAdminBackendOptions) {
    super();
    this.#options = options;
    this.daemon = options.daemon;
    this.deployment = options.deployment;
    this.handlers = {
      [AdminQuery.SettingsInForce]: (params) => this.#settingsInForce(params),
      [AdminQuery.Status]: () => this.#status(),
      [AdminQuery.Endpoints]: ({ path }) => this.#endpoints(path),
      [AdminQuery.Drain]: (params) => this.#drain(params),
      [AdminQuery.Jobs]: (params) => this.#workItems(params),
      [AdminQuery.Explain]: ({ requestId }) => this.#explain(requestId),
      [AdminQuery.Burn]: (params) => options.burn.snapshot(params),
    };
  }

  override peers(): readonly AdminPeer[] {
    const { membership } = this.#options;
    return membership
      .members()
      .filter(({ id }) => id !== membership.self.id)
      .map(({ id, rpcUrl }) => ({ daemon: id, rpcUrl }));
  }

  override lost(): readonly MissingDaemon[] {
    return this.#options.membership.lost().map(({ id, statusSinceMs }) => ({
      daemon: id,
      reason: `lost at ${new Date(statusSinceMs).toISOString()} and not heard since`,
      lostAtMs: statusSinceMs,
    }));
  }

  override async resolve({ id, ran, note, operator }: CallResolution): Promise<WorkItem> {
    const claim = await this.#options.calls.resolve({
      claimId: id,
      verdict: ran ? ResolutionVerdict.Ran : ResolutionVerdict.NotRun,
      note,
      operator,
      resolvedAtMs: this.#options.clock.nowMs(),
    });
    if (!claim) throw this.#unknownIdError(id);
    return callItem(claim);
  }

  override async cancel({ id, note, operator }: JobCancellation): Promise<WorkItem> {
    const job = await this.#options.jobs.cancel(id, { note, operator });
    if (!job) throw this.#unknownIdError(id);
    return {
      id,
      kind: WorkKind.Job,
      workspaceId: job.workspace,
      serviceId: job.service,
      state: jobState(job.status, job.fence),
      workClass: null,
      acceptedAtMs: job.acceptedAtMs,
      deadlineAtMs: job.deadlineAtMs,
      owner: job.daemon,
      fence: job.fence,
      recordedTokens: job.recordedTokens,
      note: job.cancellation?.note ?? '',
    };
  }

  #settingsInForce({ path, sections }: QueryParams<AdminQuery.SettingsInForce>): SettingsInForce {
    const { config, configReplica } = this.#options;
    const shown = sections
      ? [...config.sections()]
          .filter(([sectionPath]) => matchesPathFilter(path, sectionPath))
          .map(([sectionPath, values]) => ({
            path: sectionPath,
            revision: config.revisionOf(sectionPath),
            values: { ...values },
          }))
      : [];
    return {
      revision: config.revision,
      nextOffset: configReplica.appliedOffset,
      caughtUpAtMs: configReplica.appliedAtMs,
      sections: shown,
    };
  }

  #status(): DaemonStatus {
    const { config, configReplica, log, membership, admission } = this.#options;
    const { region, failureDomain, startedAtMs, inFlight, state } = this.#options;
    const { isReady, isStopping } = state();
    const members = membership.members();
    return {
      version: daemonVersion,
      region,
      failureDomain,
      ready: isReady,
      stopping: isStopping,
      startedAtMs,
      settingsRevision: config.revision,
      settingsCaughtUpAtMs: configReplica.appliedAtMs,
      logReachable: log.isReachable,
      liveMembers: members.filter(({ status }) => status === MemberStatus.Alive).length,
      suspectMembers: members.filter(({ status }) => status === MemberStatus.Suspect).length,
      inFlightRequests: inFlight(),
      queuedRequests: admission.queued,
      capacity: this.#options.capacity() ?? null,
    };
  }

  #endpoints(path: string): EndpointStatus[] {
    const { registry } = this.#options;
    return registry
      .all()
      .map((view) => this.#endpointStatus(view))
      .filter((endpoint) => matchesPathFilter(path, endpoint.path));
  }

  #endpointStatus(view: EndpointView): EndpointStatus {
    const { clock } = this.#options;
    const { requests } = view.ownInFlight;
    return {
      path: this.#pathOf(view),
      id: view.id,
      serviceId: view.serviceId,
      state: view.state,
      failureDomain: view.failureDomain,
      leavingAtMs: view.leavingAtMs ?? null,
      inFlightRequests: requests.short + requests.medium + requests.long,
      reportAgeMs: view.report ? clock.nowMs() - view.report.observedAtMs : null,
      tokenGapMs: view.speed.tokenGapMs ?? null,
      slowdownRatio: view.speed.slowdownRatio,
    };
  }

  #drain({ path, deadlineAtMs }: QueryParams<AdminQuery.Drain>): DrainResult {
    const { registry, selector } = this.#options;
    const views = registry.all().filter((view) => this.#pathOf(view) === path);
    for (const view of views) registry.drain(view.id, deadlineAtMs);
    return {
      path,
      ids: views.map(({ id }) => id),
      inFlightRequests: views.reduce((sum, { id }) => sum + selector.inFlight(id), 0),
    };
  }

  #workItems(params: QueryParams<AdminQuery.Jobs>): WorkItem[] {
    const { jobs, calls } = this.#options;
    return [...jobs.jobs().map(jobItem), ...calls.claims().map(callItem)]
      .filter(
        (item) =>
          (params.id ?? item.id) === item.id &&
          (params.workspaceId ?? item.workspaceId) === item.workspaceId &&
          (params.state ?? item.state) === item.state,
      )
      .slice(-params.limit);
  }

  #explain(requestId: string): AdminExplanation | null {
    const explanation = this.#options.explanations.find(requestId).at(-1);
    if (!explanation) return null;
    const candidates = explanation.candidates();
    return {
      requestId,
      workspaceId: explanation.workspaceId,
      serviceId: explanation.serviceId,
      decidedAtMs: explanation.atMs,
      chosen: candidates.find(({ isChosen }) => isChosen)?.name ?? '',
      outcome: explanation.isProbe ? 'probe' : 'routed',
      candidates: candidates.map((candidate) => ({
        endpoint: candidate.name,
        excludedBy: candidate.excludedBecause ?? '',
        scoreUsd: candidate.totalUsd ?? null,
        terms: { ...candidate.scoresUsd },
      })),
    };
  }

  /** Settings path of an endpoint, whose name is `team/name`. */
  #pathOf(view: EndpointView): string {
    const [team, name] = view.name.split('/', 2);
    return `${this.deployment}/${team ?? ''}/endpoints/${name ?? ''}`;
  }

  #unknownIdError(id: string): OrioleError {
    return new OrioleError(`nothing is recorded under the id ${id}; see \`oriolectl jobs list\``, {
      step: Step.Admin,
      peer: this.daemon,
    });
  }
}

/** Whether `path` is the filter or is below it; an empty filter matches every path. */
function matchesPathFilter(filter: string, path: string): boolean {
  return filter === '' || isPathWithin(withoutTrailingSlashes(filter), path);
}

function jobState(status: JobStatus, fence: number): WorkState {
  switch (status) {
    case JobStatus.Active:
      return fence === 0 ? WorkState.Accepted : WorkState.Running;
    case JobStatus.Done:
      return WorkState.Done;
    case JobStatus.Cancelled:
      return WorkState.Cancelled;
  }
}

function jobItem(job: Job): WorkItem {
  return {
    id: job.jobId,
    kind: WorkKind.Job,
    workspaceId: job.workspace,
    serviceId: job.service,
    state: jobState(job.status, job.fence),
    workClass: job.workClass,
    acceptedAtMs: job.acceptedAtMs,
    deadlineAtMs: job.deadlineAtMs,
    owner: job.daemon,
    fence: job.fence,
    recordedTokens: job.recordedTokens,
    note: job.cancellation?.note ?? '',
  };
}

const callStates: Readonly<Record<ClaimStatus, WorkState>> = {
  [ClaimStatus.Claimed]: WorkState.Running,
  [ClaimStatus.Answered]: WorkState.Done,
  [ClaimStatus.Unknown]: WorkState.Unknown,
  [ClaimStatus.ResolvedRan]: WorkState.ResolvedRan,
};

function callState({ status, resolution }: Claim): WorkState {
  return resolution?.verdict === ResolutionVerdict.NotRun
    ? WorkState.ResolvedNotRun
    : callStates[status];
}

function callItem(claim: Claim): WorkItem {
  return {
    id: claim.claimId,
    kind: WorkKind.Call,
    workspaceId: claim.workspace,
    serviceId: claim.service,
    state: callState(claim),
    workClass: null,
    acceptedAtMs: claim.claimedAtMs,
    deadlineAtMs: claim.finishByMs,
    owner: claim.daemon,
    fence: claim.position,
    recordedTokens: null,
    note: claim.resolution?.note ?? '',
  };
}
