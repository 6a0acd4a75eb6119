import {
  AdminBackend,
  type AdminPeer,
  type JobCancellation,
  type QueryHandlers,
  type CallResolution,
} from '../../src/admin/index.js';
import {
  AdminQuery,
  WorkKind,
  WorkState,
  type EndpointStatus,
  type MissingDaemon,
  type WorkItem,
} from '../../src/admin-api/index.js';
import { OrioleError, Step, SystemClock } from '../../src/core/index.js';
import { BurnRecorder, objectivesOf } from '../../src/report/index.js';
import { Deployment } from '../../src/settings/index.js';

const clock = new SystemClock();
const sections = [
  { path: 'prod/tejidos/limits/tenders', revision: 1, values: { rate_per_s: '5' } },
  { path: 'prod/tejidos-b/limits/tenders', revision: 2, values: { rate_per_s: '6' } },
  { path: 'prod/haneul/limits/planner', revision: 3, values: { rate_per_s: '7' } },
];

function workItem(id: string, kind: WorkKind, workspaceId: string, fence: number): WorkItem {
  return {
    id,
    kind,
    workspaceId,
    serviceId: `${workspaceId.split('/')[0] ?? ''}/sales`,
    state: kind === WorkKind.Call ? WorkState.Unknown : WorkState.Running,
    workClass: null,
    acceptedAtMs: null,
    deadlineAtMs: null,
    owner: 'entry-1',
    fence,
    recordedTokens: null,
    note: '',
  };
}

function endpoint(path: string): EndpointStatus {
  return {
    path,
    id: `${path}#1`,
    serviceId: 'tejidos/sales',
    state: 'live',
    failureDomain: 'litoral-rosario',
    leavingAtMs: null,
    inFlightRequests: 0,
    reportAgeMs: null,
    tokenGapMs: null,
    slowdownRatio: 1,
  };
}

/** Backend of a daemon with the settings and work of several teams. */
export class FakeAdminBackend extends AdminBackend {
  override readonly deployment = 'prod';
  lostDaemons: readonly MissingDaemon[] = [];
  readonly drained: string[] = [];
  readonly changes: (CallResolution | JobCancellation)[] = [];
  readonly handlers: QueryHandlers;
  peerList: AdminPeer[] = [];
  items = [
    workItem('call-1', WorkKind.Call, 'tejidos/tenders', 1),
    workItem('job-1', WorkKind.Job, 'tejidos/tenders', 1),
    workItem('job-2', WorkKind.Job, 'haneul/planner', 1),
  ];

  constructor(override readonly daemon: string) {
    super();
    const burn = new BurnRecorder({
      clock,
      objectives: (id) => objectivesOf(new Deployment(), id),
    });
    burn.series('tejidos/tenders', 'tejidos/sales').recordRefusal();
    burn.series('haneul/planner', 'haneul/planner').recordRefusal();
    this.handlers = {
      [AdminQuery.SettingsInForce]: () => ({
        revision: 3,
        nextOffset: 9,
        caughtUpAtMs: 5,
        sections,
      }),
      [AdminQuery.Status]: () => {
        throw new OrioleError('status is not part of this test', {
          step: Step.Admin,
          peer: 'local',
        });
      },
      [AdminQuery.Endpoints]: () =>
        ['prod/tejidos/endpoints/w1', 'prod/haneul/endpoints/p1'].map(endpoint),
      [AdminQuery.Drain]: ({ path }) => {
        this.drained.push(path);
        return { path, ids: [`${path}#1`], inFlightRequests: 2 };
      },
      [AdminQuery.Jobs]: ({ id }) => this.items.filter((item) => (id ?? item.id) === item.id),
      [AdminQuery.Explain]: ({ requestId }) => ({
        requestId,
        workspaceId: 'haneul/planner',
        serviceId: 'haneul/planner',
        decidedAtMs: 1,
        chosen: 'haneul/p1',
        outcome: 'served',
        candidates: [],
      }),
      [AdminQuery.Burn]: (filter) => burn.snapshot(filter),
    };
  }

  override peers(): readonly AdminPeer[] {
    return this.peerList;
  }

  override lost(): readonly MissingDaemon[] {
    return this.lostDaemons;
  }

  override async resolve(resolution: CallResolution): Promise<WorkItem> {
    this.changes.push(resolution);
    return workItem(resolution.id, WorkKind.Call, 'tejidos/tenders', 2);
  }

  override async cancel(cancellation: JobCancellation): Promise<WorkItem> {
    this.changes.push(cancellation);
    return workItem(cancellation.id, WorkKind.Job, 'tejidos/tenders', 2);
  }
}
