import { describe, expect, it } from 'vitest';
import { acceptedJobsSurvive } from '../../bench/histories/checkers/accepted-jobs-survive.js';
import { atMostOnce } from '../../bench/histories/checkers/at-most-once.js';
import { configurationInForce } from '../../bench/histories/checkers/configuration-in-force.js';
import { gracefulStop } from '../../bench/histories/checkers/graceful-stop.js';
import { leavingEndpointsRest } from '../../bench/histories/checkers/leaving-endpoints-rest.js';
import { notRunIsTrue } from '../../bench/histories/checkers/not-run-is-true.js';
import { pausesAreKept } from '../../bench/histories/checkers/pauses-are-kept.js';
import { refusalsNameTheEnd } from '../../bench/histories/checkers/refusals-name-the-end.js';
import { soundEndpointsServe } from '../../bench/histories/checkers/sound-endpoints-serve.js';
import { toldLeavingIsKept } from '../../bench/histories/checkers/told-leaving-is-kept.js';
import { wholeAnswers } from '../../bench/histories/checkers/whole-answers.js';
import { HistoryKind, type HistoryEvent } from '../../bench/histories/history.js';
import { Outcome } from '../../src/core/index.js';

const atMs = 0;
const submitted: HistoryEvent = {
  atMs,
  kind: HistoryKind.JobSubmitted,
  workId: 'w',
  expectedText: 'a b ',
};
const accepted: HistoryEvent = { atMs, kind: HistoryKind.JobAccepted, workId: 'w', jobId: 'j' };
const ran = (workId: string, key = 'k'): HistoryEvent => ({
  atMs,
  kind: HistoryKind.WorkRan,
  workId,
  key,
});

describe('history checkers', () => {
  it('P1 catches an accepted job that is not done', () => {
    const ended: HistoryEvent = {
      atMs,
      kind: HistoryKind.JobEnded,
      jobId: 'j',
      isDone: true,
      text: 'a b ',
    };
    expect(acceptedJobsSurvive([accepted, ended])).toEqual([]);
    expect(acceptedJobsSurvive([accepted, { ...ended, isDone: false }])).toHaveLength(1);
    expect(acceptedJobsSurvive([accepted])).toHaveLength(1);
  });

  it('P2 catches a short, a crossed and a retracted answer', () => {
    const read = (text: string, isComplete: boolean): HistoryEvent => ({
      atMs,
      kind: HistoryKind.AnswerRead,
      jobId: 'j',
      text,
      isComplete,
    });
    const right = [submitted, accepted, read('a ', false), read('a b ', true)];
    expect(wholeAnswers(right)).toEqual([]);
    expect(wholeAnswers([submitted, accepted, read('a ', true)])).toHaveLength(1);
    expect(wholeAnswers([submitted, accepted, read('x ', false)])).toHaveLength(1);
    const call: HistoryEvent[] = [
      { atMs, kind: HistoryKind.CallStarted, callId: 'c', key: 'k', expectedBody: 'mine' },
      { atMs, kind: HistoryKind.CallEnded, callId: 'c', outcome: undefined, body: 'other' },
    ];
    expect(wholeAnswers(call)).toHaveLength(1);
    const failed = (body: string): HistoryEvent[] => [
      { atMs, kind: HistoryKind.CallStarted, callId: 'c', key: '', expectedBody: 'mine' },
      { atMs, kind: HistoryKind.CallEnded, callId: 'c', outcome: Outcome.Unknown, body },
    ];
    expect(wholeAnswers(failed('mi'))).toEqual([]);
    expect(wholeAnswers(failed('mx'))).toHaveLength(1);
  });

  it('P3 catches work that ran although it was refused with not_run, even later', () => {
    const refused: HistoryEvent = {
      atMs,
      kind: HistoryKind.CallEnded,
      callId: 'c',
      outcome: Outcome.NotRun,
      body: '',
    };
    expect(notRunIsTrue([refused, ran('other')])).toEqual([]);
    expect(notRunIsTrue([refused, ran('c')])).toHaveLength(1);
    const job: HistoryEvent = {
      atMs,
      kind: HistoryKind.JobRefused,
      workId: 'w',
      outcome: Outcome.NotRun,
    };
    expect(notRunIsTrue([ran('w', ''), job])).toHaveLength(1);
  });

  it('P4 catches a key that ran twice, and lets jobs run again', () => {
    expect(atMostOnce([ran('c1'), ran('c2', 'other'), ran('w', ''), ran('w', '')])).toEqual([]);
    expect(atMostOnce([ran('c1'), ran('c2')])).toHaveLength(1);
  });

  it('P5 catches new work at an endpoint that has been leaving for more than 3 s', () => {
    const leaving: HistoryEvent = {
      atMs: 1_000,
      kind: HistoryKind.EndpointLeaving,
      endpointId: 'e',
    };
    const assigned = (time: number, region = 'north'): HistoryEvent => ({
      atMs: time,
      kind: HistoryKind.WorkAssigned,
      endpointId: 'e',
      workId: 'w',
      region,
    });
    expect(leavingEndpointsRest([leaving, assigned(4_000)])).toEqual([]);
    expect(leavingEndpointsRest([leaving, assigned(4_001)])).toHaveLength(1);
    expect(leavingEndpointsRest([leaving, assigned(4_001, 'south')])).toHaveLength(1);
    const heldUp: HistoryEvent = {
      atMs: 1_500,
      kind: HistoryKind.SignalHeldUp,
      endpointId: 'e',
      region: 'south',
      untilMs: 9_000,
    };
    expect(leavingEndpointsRest([heldUp, leaving, assigned(12_000, 'south')])).toEqual([]);
    expect(leavingEndpointsRest([heldUp, leaving, assigned(12_001, 'south')])).toHaveLength(1);
    expect(leavingEndpointsRest([heldUp, leaving, assigned(4_001)])).toHaveLength(1);
    const late: HistoryEvent = { ...heldUp, atMs: 4_000 };
    expect(leavingEndpointsRest([late, leaving, assigned(4_001, 'south')])).toHaveLength(1);
  });

  it('P6 catches a request that a planned stop cut off', () => {
    const stop: HistoryEvent = { atMs, kind: HistoryKind.StopBegan, daemon: 'd' };
    const began: HistoryEvent = {
      atMs,
      kind: HistoryKind.RequestBegan,
      requestId: 'r',
      daemon: 'd',
    };
    const ended = (isCutOff: boolean): HistoryEvent => ({
      atMs,
      kind: HistoryKind.RequestEnded,
      requestId: 'r',
      isCutOff,
    });
    expect(gracefulStop([began, stop, ended(false)])).toEqual([]);
    expect(gracefulStop([began, stop, ended(true)])).toHaveLength(1);
    expect(gracefulStop([began, stop])).toHaveLength(1);
    const crash: HistoryEvent = { atMs, kind: HistoryKind.DaemonCrashed, daemon: 'd' };
    expect(gracefulStop([began, stop, crash])).toEqual([]);
  });

  describe('P7', () => {
    const serving = (from: number): HistoryEvent => ({
      atMs: from,
      kind: HistoryKind.DaemonServing,
      daemon: 'd',
      untilMs: 60_000,
    });
    const setting: HistoryEvent = {
      atMs: 1_000,
      kind: HistoryKind.SettingAccepted,
      path: 'p',
      revision: 5,
      value: '9',
    };
    const inForce = (time: number, revision = 5, value = '9'): HistoryEvent => ({
      atMs: time,
      kind: HistoryKind.SettingInForce,
      daemon: 'd',
      path: 'p',
      revision,
      value,
    });

    it('catches a setting that is late after its acceptance or after the daemon returned', () => {
      expect(configurationInForce([serving(0), setting, inForce(21_000)])).toEqual([]);
      expect(configurationInForce([serving(0), setting, inForce(21_001)])).toHaveLength(1);
      expect(configurationInForce([serving(30_000), setting, inForce(50_000)])).toEqual([]);
      expect(configurationInForce([serving(30_000), setting, inForce(50_001)])).toHaveLength(1);
    });

    it('catches a setting that goes back', () => {
      const older: HistoryEvent = { ...setting, atMs: 500, revision: 4 };
      const events = [serving(0), older, setting, inForce(2_000), inForce(3_000, 4)];
      expect(configurationInForce(events)).toHaveLength(1);
    });

    it('catches a value that was not accepted', () => {
      expect(configurationInForce([setting, inForce(2_000, 5, '8')])).toHaveLength(1);
      expect(configurationInForce([setting, inForce(2_000, 6)])).toHaveLength(1);
    });

    it('catches a false answer to the operator', () => {
      const answered = (isAccepted: boolean, revision: number): HistoryEvent => ({
        atMs,
        kind: HistoryKind.SettingAnswered,
        path: 'p',
        revision,
        isAccepted,
      });
      expect(configurationInForce([setting, answered(true, 5), answered(false, 6)])).toEqual([]);
      expect(configurationInForce([setting, answered(false, 5)])).toHaveLength(1);
      expect(configurationInForce([setting, answered(true, 6)])).toHaveLength(1);
    });
  });

  describe('what endpoints say themselves', () => {
    const arrived = (arrivedAtMs: number, changes: Partial<HistoryEvent> = {}): HistoryEvent =>
      ({
        atMs: arrivedAtMs,
        kind: HistoryKind.RequestArrived,
        endpointId: 'i-1@0',
        daemon: 'entry-0.1',
        requestId: 'r',
        isProbe: false,
        writtenAtMs: arrivedAtMs - 1,
        ...changes,
      }) as HistoryEvent;

    it('catches a request later than the drain bound after the leaving was told', () => {
      const told: HistoryEvent = {
        atMs: 1_000,
        kind: HistoryKind.LeavingTold,
        endpointId: 'i-1@0',
        daemon: 'entry-0.1',
      };
      expect(toldLeavingIsKept([told, arrived(3_501)])).toHaveLength(1);
      // The first response counts, not a later one.
      expect(toldLeavingIsKept([told, { ...told, atMs: 3_000 }, arrived(3_501)])).toHaveLength(1);
      expect(toldLeavingIsKept([told, arrived(3_500)])).toEqual([]);
      const allowed: Partial<HistoryEvent>[] = [
        { daemon: 'entry-0.2' },
        { endpointId: 'i-1@900' },
        { isProbe: true },
      ];
      for (const changes of allowed) {
        expect(toldLeavingIsKept([told, arrived(9_000, changes)])).toEqual([]);
      }
    });

    it('catches a request or a probe within a pause that the daemon knew of', () => {
      const asked: HistoryEvent = {
        atMs: 1_010,
        kind: HistoryKind.PauseAsked,
        endpointId: 'i-1@0',
        daemon: 'entry-0.1',
        askedAtMs: 1_000,
        untilMs: 5_000,
      };
      expect(pausesAreKept([asked, arrived(1_501)])).toHaveLength(1);
      expect(pausesAreKept([asked, arrived(4_999, { isProbe: true })])).toHaveLength(1);
      // A longer pause holds beside a shorter one.
      expect(pausesAreKept([asked, { ...asked, untilMs: 2_000 }, arrived(4_000)])).toHaveLength(1);
      expect(pausesAreKept([asked, arrived(1_500), arrived(5_000)])).toEqual([]);
      expect(pausesAreKept([asked, arrived(3_000, { writtenAtMs: 1_009 })])).toEqual([]);
      expect(pausesAreKept([asked, arrived(3_000, { daemon: 'entry-1.1' })])).toEqual([]);
    });

    it('catches a sound endpoint that gets nothing, and a refusal that names too early a time', () => {
      const usable: HistoryEvent = {
        atMs,
        kind: HistoryKind.EndpointUsable,
        endpointId: 'i-1@0',
        daemon: 'entry-0.1',
        isUsable: true,
      };
      expect(soundEndpointsServe([usable])).toEqual([]);
      expect(soundEndpointsServe([{ ...usable, isUsable: false }])).toHaveLength(1);
      const refused: HistoryEvent = {
        atMs,
        kind: HistoryKind.CallRefused,
        callId: 'c',
        retryAtMs: 900,
        pausedUntilMs: 1_000,
      };
      expect(refusalsNameTheEnd([refused])).toHaveLength(1);
      expect(refusalsNameTheEnd([{ ...refused, retryAtMs: 1_000 }])).toEqual([]);
      expect(refusalsNameTheEnd([{ ...refused, pausedUntilMs: undefined }])).toEqual([]);
    });
  });
});
