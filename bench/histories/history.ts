import type { Clock, Outcome } from '../../src/core/index.js';

/** Kind of a {@link HistoryEvent}. */
export enum HistoryKind {
  CallStarted = 'call_started',
  CallEnded = 'call_ended',
  WorkRan = 'work_ran',
  JobSubmitted = 'job_submitted',
  JobAccepted = 'job_accepted',
  JobRefused = 'job_refused',
  JobCancelled = 'job_cancelled',
  AnswerRead = 'answer_read',
  JobEnded = 'job_ended',
  ReclaimAnnounced = 'reclaim_announced',
  EndpointLeaving = 'endpoint_leaving',
  WorkAssigned = 'work_assigned',
  SignalHeldUp = 'signal_held_up',
  RequestArrived = 'request_arrived',
  LeavingTold = 'leaving_told',
  PauseAsked = 'pause_asked',
  CallRefused = 'call_refused',
  EndpointUsable = 'endpoint_usable',
  StopBegan = 'stop_began',
  DaemonCrashed = 'daemon_crashed',
  RequestBegan = 'request_began',
  RequestEnded = 'request_ended',
  SettingAccepted = 'setting_accepted',
  SettingAnswered = 'setting_answered',
  SettingInForce = 'setting_in_force',
  DaemonServing = 'daemon_serving',
  Fault = 'fault',
  HistoryEnded = 'history_ended',
}

/** What an observer outside the product saw. All times are epoch milliseconds of one clock. */
export type HistoryEvent = { readonly atMs: number } & (
  | {
      readonly kind: HistoryKind.CallStarted;
      readonly callId: string;
      readonly key: string;
      /** Body of the whole answer that belongs to this call. */
      readonly expectedBody: string;
    }
  | {
      readonly kind: HistoryKind.CallEnded;
      readonly callId: string;
      /** Undefined for a success. */
      readonly outcome: Outcome | undefined;
      readonly body: string;
    }
  /** A back end received work of a call or a job. */
  | { readonly kind: HistoryKind.WorkRan; readonly workId: string; readonly key: string }
  /** `expectedText` is the whole answer that belongs to the job. */
  | {
      readonly kind: HistoryKind.JobSubmitted;
      readonly workId: string;
      readonly expectedText: string;
    }
  | { readonly kind: HistoryKind.JobAccepted; readonly workId: string; readonly jobId: string }
  | { readonly kind: HistoryKind.JobRefused; readonly workId: string; readonly outcome: Outcome }
  | { readonly kind: HistoryKind.JobCancelled; readonly jobId: string }
  /** A reader was shown `text`, as the whole answer if `isComplete`. */
  | {
      readonly kind: HistoryKind.AnswerRead;
      readonly jobId: string;
      readonly text: string;
      readonly isComplete: boolean;
    }
  /** State of a job on the last daemon at the end of the history. */
  | {
      readonly kind: HistoryKind.JobEnded;
      readonly jobId: string;
      readonly isDone: boolean;
      readonly text: string;
    }
  | { readonly kind: HistoryKind.ReclaimAnnounced; readonly endpointIds: readonly string[] }
  /** First signal that an endpoint is leaving, wherever it was seen. */
  | { readonly kind: HistoryKind.EndpointLeaving; readonly endpointId: string }
  /**
   * From `atMs` to `untilMs` no daemon that knows that the endpoint is leaving runs and reaches the
   * region.
   */
  | {
      readonly kind: HistoryKind.SignalHeldUp;
      readonly endpointId: string;
      readonly region: string;
      readonly untilMs: number;
    }
  /** An endpoint received new work; `region` is that of the daemon. */
  | {
      readonly kind: HistoryKind.WorkAssigned;
      readonly endpointId: string;
      readonly workId: string;
      readonly region: string;
    }
  /**
   * A request of a run of a daemon reached the endpoint that it names. `writtenAtMs` is when the
   * daemon wrote it; a probe is a request for the endpoint's health.
   */
  | {
      readonly kind: HistoryKind.RequestArrived;
      readonly endpointId: string;
      readonly daemon: string;
      readonly requestId: string;
      readonly isProbe: boolean;
      readonly writtenAtMs: number;
    }
  /** A run of a daemon read a response by which an endpoint says that it leaves. */
  | { readonly kind: HistoryKind.LeavingTold; readonly endpointId: string; readonly daemon: string }
  /** A run of a daemon read a refusal that was sent at `askedAtMs` and asks for a pause to `untilMs`. */
  | {
      readonly kind: HistoryKind.PauseAsked;
      readonly endpointId: string;
      readonly daemon: string;
      readonly askedAtMs: number;
      readonly untilMs: number;
    }
  /** A daemon refused a call and named the time of the next try. */
  | {
      readonly kind: HistoryKind.CallRefused;
      readonly callId: string;
      readonly retryAtMs: number;
      /** End of the earliest pause if all endpoints that the daemon may use pause; else undefined. */
      readonly pausedUntilMs: number | undefined;
    }
  /** Whether a daemon may use a sound endpoint once all faults have ended. */
  | {
      readonly kind: HistoryKind.EndpointUsable;
      readonly endpointId: string;
      readonly daemon: string;
      readonly isUsable: boolean;
    }
  /** Daemons of stops and requests are named with their run, as `entry-0.3`. */
  | { readonly kind: HistoryKind.StopBegan; readonly daemon: string }
  | { readonly kind: HistoryKind.DaemonCrashed; readonly daemon: string }
  | { readonly kind: HistoryKind.RequestBegan; readonly requestId: string; readonly daemon: string }
  /** `isCutOff` when the caller saw the connection end without a whole answer or refusal. */
  | {
      readonly kind: HistoryKind.RequestEnded;
      readonly requestId: string;
      readonly isCutOff: boolean;
    }
  | {
      readonly kind: HistoryKind.SettingAccepted;
      readonly path: string;
      readonly revision: number;
      /** Empty when the change removed the section. */
      readonly value: string;
    }
  /** The operator who published a change was told the decision on it. */
  | {
      readonly kind: HistoryKind.SettingAnswered;
      readonly path: string;
      readonly revision: number;
      readonly isAccepted: boolean;
    }
  | {
      readonly kind: HistoryKind.SettingInForce;
      readonly daemon: string;
      readonly path: string;
      readonly revision: number;
      readonly value: string;
    }
  /** From `atMs` to `untilMs` the daemon runs and reaches the log. */
  | {
      readonly kind: HistoryKind.DaemonServing;
      readonly daemon: string;
      readonly untilMs: number;
    }
  /** For the reader of a failed history; no checker uses it. */
  | { readonly kind: HistoryKind.Fault; readonly what: string }
  | { readonly kind: HistoryKind.HistoryEnded }
);

type WithoutTime<Event> = Event extends unknown ? Omit<Event, 'atMs'> : never;

/** Records what observers saw, in order. */
export class HistoryRecorder {
  readonly #clock: Clock;
  readonly events: HistoryEvent[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** @param atMs - when it happened, for what is noticed later. */
  record(event: WithoutTime<HistoryEvent>, atMs = this.#clock.nowMs()): void {
    this.events.push({ ...event, atMs });
  }
}

/** Events of one kind. */
export function eventsOf<Kind extends HistoryKind>(
  history: readonly HistoryEvent[],
  kind: Kind,
): Extract<HistoryEvent, { kind: Kind }>[] {
  return history.filter(
    (event): event is Extract<HistoryEvent, { kind: Kind }> => event.kind === kind,
  );
}
