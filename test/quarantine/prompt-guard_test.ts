import { afterEach, describe, expect, it } from 'vitest';
import { QuarantineExit, runQuarantineCommand } from '../../platform/quarantine-command.js';
import { QuarantineAdmin } from '../../src/quarantine/quarantine-admin.js';
import { KeyedLogFault } from '../../src/standins/memory-keyed-log.js';
import { quarantineMessageSchema } from '../../src/quarantine/quarantine-message.js';
import { EntrySource, type QuarantineEntry } from '../../src/quarantine/quarantine-entry.js';
import { storeQuarantine } from '../../src/quarantine/quarantine-records.js';
import { GuardFleet, type GuardFleetOptions } from './guard-fleet.js';

/** Requests that may still be sent, and from when on that is counted. */
const allowedSends = 3;
const stabilityWindowMs = 4_000;
const countedCrash = 5;

const requestPeriodMs = 500;

describe('PromptGuard', () => {
  let fleet: GuardFleet;

  afterEach(() => {
    fleet.stop();
  });

  async function start(changes: Partial<GuardFleetOptions> = {}): Promise<void> {
    fleet = new GuardFleet({
      daemons: 7,
      seed: 1,
      datagramLossRatio: 0,
      unheardForMs: 0,
      restartMs: 5_000,
      hasNoLengths: false,
      ...changes,
    });
    await fleet.clock.advance(3_000);
  }

  /** Sends poison requests to daemons at random, and lets answers on their first parts come. */
  async function play(lengthMs: number): Promise<void> {
    const endAtMs = fleet.clock.nowMs() + lengthMs;
    while (fleet.clock.nowMs() < endAtMs) {
      void fleet.sendPoison('dead');
      await fleet.clock.advance(requestPeriodMs);
      for (let at = 0; at < 4; at++) fleet.answer(`first${at}`, 'sound');
    }
  }

  function lateSends(): number {
    const fromMs = (fleet.crashesAtMs[countedCrash - 1] ?? Infinity) + stabilityWindowMs;
    return fleet.poisonSendsAtMs.filter((atMs) => atMs > fromMs).length;
  }

  describe('many daemons, of which each sees one endpoint end at most', () => {
    it.each([
      ['all datagrams arrive', 0],
      ['a third of the datagrams is lost', 0.33],
      ['all datagrams are lost, so that reports meet through the store', 1],
    ])('keep a poison part from endpoints: %s', async (_, datagramLossRatio) => {
      await start({ daemons: 195, datagramLossRatio });
      await play(20_000);
      expect(fleet.crashesAtMs.length).toBeGreaterThanOrEqual(3);
      expect(lateSends()).toBeLessThanOrEqual(allowedSends);
      expect(fleet.heldBackAt('dead')).toBe(195);
      for (let at = 0; at < 4; at++) expect(fleet.heldBackAt(`first${at}`)).toBe(0);
    });

    it('send few messages for each endpoint that ends, whatever their number', async () => {
      const messages: number[] = [];
      for (const daemons of [20, 195]) {
        await start({ daemons });
        await play(10_000);
        messages.push(fleet.sent.length / fleet.crashesAtMs.length);
        fleet.stop();
      }
      expect(messages[1]).toBeLessThan(messages[0]! * 2);
    });

    it('store the verdict once each, not all at the same time', async () => {
      await start({ daemons: 195 });
      const before = fleet.log.appendCalls;
      await play(20_000);
      expect(fleet.log.appendCalls - before).toBeLessThanOrEqual(10);
    });
  });

  it('holds back no part whose answers all end with their connections, as ends of processes do', async () => {
    await start();
    // The same first part and bystanders at each end, as on a small deployment.
    for (let end = 0; end < 12; end++) {
      void fleet.sendPoison('dead', undefined, ['first0', 'sound']);
      await fleet.clock.advance(300);
      for (let at = 0; at < 4; at++) fleet.answerWithoutLength(`first${at}`, 'sound');
      await fleet.clock.advance(1_500);
    }
    expect(fleet.heldBackAt('dead')).toBe(7);
    for (const part of ['first0', 'first1', 'first2', 'first3', 'sound']) {
      expect(fleet.heldBackAt(part)).toBe(0);
    }
    expect(fleet.crashesAtMs.length).toBeLessThanOrEqual(5);
  });

  it('takes no answer for whole whose endpoint ended with it, although it seems complete', async () => {
    await start({ hasNoLengths: true, restartMs: 600 });
    await play(20_000);
    expect(fleet.heldBackAt('dead')).toBe(7);
    expect(lateSends()).toBeLessThanOrEqual(allowedSends);
  });

  it('clears parts by an answer without a length once its endpoint has responded again', async () => {
    for (const responds of [false, true]) {
      await start({ daemons: 1 });
      const ends = [0, 1, 2].map((at) => ({ at, crashedAtMs: fleet.clock.nowMs() + at * 300 }));
      await fleet.clock.advance(1_000);
      fleet.answerWithoutLength('part');
      if (responds) fleet.guards[0]!.endpointResponded('i-sound');
      for (const { at, crashedAtMs } of ends) {
        const ageMs = fleet.clock.nowMs() - crashedAtMs;
        const crash = { endpointId: `i-${at}`, requestId: `r${at}`, partIds: ['part'], ageMs };
        fleet.guards[0]!.receive({ crash: { ...crash, sentAgeMs: ageMs + 80 } });
      }
      await fleet.clock.advance(2_000);
      expect(fleet.heldBackAt('part')).toBe(responds ? 0 : 1);
      fleet.stop();
    }
  });

  describe('a daemon that starts', () => {
    it('holds back nothing sound by crashes of which it has heard no other reports yet', async () => {
      await start({ unheardForMs: 4_500 });
      // Daemon 0 knows the bystanders of each crash, daemon 1 the requests under which they happen.
      for (let end = 0; end < 4; end++) {
        const parts = new Map([
          [0, ['first0', `sound${end}`]],
          [1, [`first${1 + end}`, 'dead']],
        ]);
        void fleet.crashUnder(parts);
        await fleet.clock.advance(350);
      }
      await fleet.clock.advance(3_000);
      expect(fleet.heldBackAt('first0')).toBe(0);
      await play(8_000);
      expect(fleet.heldBackAt('dead')).toBe(7);
      expect(fleet.heldBackAt('first0')).toBe(0);
    });

    it('takes no old report in a sample for a new one, and holds back nothing sound by it', async () => {
      await start({ daemons: 1 });
      const guard = fleet.guards[0]!;
      const startedAtMs = fleet.clock.nowMs() - 3_000;
      // Reports of ends before its start, in samples that were stored then and are read only now.
      for (let at = 0; at < 6; at++) {
        const ids = { endpointId: `i-${at}`, requestId: `r${at}`, partIds: ['shared'] };
        const crash = { ...ids, ageMs: 500, sentAgeMs: 600 };
        guard.receiveReports([crash], startedAtMs - 8_000 + at * 1_000);
      }
      await fleet.clock.advance(5_000);
      expect(fleet.heldBackAt('shared')).toBe(0);
    });
  });

  it('exchanges ids that callers chose without bounds as far as others accept them', async () => {
    await start();
    const parts = Array.from({ length: 100 }, (_, at) => `p${at}`);
    for (let end = 0; end < 3; end++) {
      void fleet.guards[end]!.requestBroke({
        endpointId: `i-${end}`,
        baseUrl: fleet.crashedUrl(),
        requestId: `${end}`.repeat(5_000),
        partIds: ['x'.repeat(5_000), ...parts],
        sentAtMs: fleet.clock.nowMs(),
        firstEventAtMs: undefined,
        lastEventAtMs: undefined,
      });
      await fleet.clock.advance(1_000);
    }
    expect(fleet.guards.filter((guard) => guard.find(parts))).toHaveLength(7);
    for (const message of fleet.sent) {
      expect(quarantineMessageSchema.safeParse(message).success).toBe(true);
    }
  });

  it('keeps the verdict in the store also when it was reached in an outage', async () => {
    await start();
    fleet.log.fault = KeyedLogFault.Down;
    await play(5_000);
    expect(fleet.heldBackAt('dead')).toBe(7);
    fleet.log.fault = KeyedLogFault.None;
    await fleet.clock.advance(10_000);
    const { records } = await fleet.log.newest('duties');
    expect(records.map(({ key }) => key)).toEqual([expect.stringContaining('quarantine/')]);
  });

  it('lets nothing through before the first trial, and then only at the holder of the duties', async () => {
    await start();
    await play(5_000);
    const ends = fleet.crashesAtMs.length;
    await fleet.clock.advance(400_000);
    for (let at = 1; at < 7; at++) void fleet.sendPoison('dead', at);
    await fleet.clock.advance(1_000);
    expect(fleet.crashesAtMs.length).toBe(ends);
    for (let round = 0; round < 5; round++) void fleet.sendPoison('dead', 0);
    await fleet.clock.advance(1_000);
    expect(fleet.crashesAtMs.length).toBe(ends + 1);
  });

  describe('a quarantine of sound prompts, reached without the reports that show the cause', () => {
    const wrong = { partIds: ['first0'], crashes: 3, isReleased: false, trials: 0 };

    async function startWithWrong(): Promise<void> {
      await start();
      const nowMs = fleet.clock.nowMs();
      const entry = { ...wrong, version: 1, firstCrashAtMs: nowMs, nextTrialAtMs: nowMs + 300_000 };
      for (const guard of fleet.guards) guard.receive({ entry });
    }

    it('is lifted soon, by an answer to one of them, when endpoints crash under others', async () => {
      await startWithWrong();
      await play(20_000);
      expect(fleet.heldBackAt('first0')).toBe(0);
      expect(fleet.heldBackAt('dead')).toBe(7);
      expect(lateSends()).toBeLessThanOrEqual(allowedSends);
    });

    it('is lifted soon when another one was reached by the same crashes', async () => {
      await start();
      for (let end = 0; end < 6; end++) {
        void fleet.crashUnder(
          new Map([
            [3, ['first0', `sound${end}`]],
            [4, [`first${1 + (end % 3)}`, 'dead']],
          ]),
        );
        await fleet.clock.advance(600);
      }
      expect(fleet.heldBackAt('first0')).toBe(7);
      expect(fleet.heldBackAt('dead')).toBe(7);
      await play(20_000);
      expect(fleet.heldBackAt('first0')).toBe(0);
      expect(fleet.heldBackAt('dead')).toBe(7);
      expect(lateSends()).toBeLessThanOrEqual(allowedSends);
    });

    it('is tried by no request that another quarantine holds back', async () => {
      await start();
      const nowMs = fleet.clock.nowMs();
      const entry = { ...wrong, version: 1, firstCrashAtMs: nowMs, nextTrialAtMs: nowMs };
      const right = { ...entry, partIds: ['dead'], nextTrialAtMs: nowMs + 300_000 };
      for (const guard of fleet.guards) {
        guard.receive({ entry });
        guard.receive({ entry: right });
      }
      await fleet.clock.advance(1_000);
      const holder = fleet.guards[fleet.holder]!;
      expect(holder.admit(['first0', 'dead'])?.partIds).toEqual(['dead']);
      expect(holder.admit(['first0', 'sound'])).toBeUndefined();
      expect(holder.admit(['first0', 'sound'])?.partIds).toEqual(['first0']);
    });

    it('is tried although the trial of another one waits for a request that never comes', async () => {
      await start();
      for (let end = 0; end < 3; end++) {
        const parts = new Map([
          [3, ['first0', `sound${end}`]],
          [4, [`first${1 + end}`, 'dead']],
        ]);
        void fleet.crashUnder(parts);
        await fleet.clock.advance(600);
      }
      const nowMs = fleet.clock.nowMs();
      const times = { firstCrashAtMs: nowMs - 1_800, nextTrialAtMs: nowMs + 300_000 };
      for (const partId of ['dead', 'first0']) {
        const entry = { ...wrong, ...times, partIds: [partId], version: 1 };
        for (const guard of fleet.guards) guard.receive({ entry });
      }
      for (let at = 0; at < 20; at++) {
        fleet.answer('first0', 'sound');
        await fleet.clock.advance(500);
      }
      expect(fleet.heldBackAt('first0')).toBe(0);
      // The holder of the duties still waits for a request to try it with.
      expect(fleet.heldBackAt('dead')).toBe(6);
    });

    it('stays while no endpoints crash, as a right one does', async () => {
      await startWithWrong();
      for (let at = 0; at < 100; at++) {
        fleet.answer('first0', 'sound');
        await fleet.clock.advance(500);
      }
      expect(fleet.heldBackAt('first0')).toBe(7);
    });
  });

  it('logs whether the reports of all daemons had arrived when a part was named', async () => {
    for (const unheardForMs of [0, 60_000]) {
      await start({ unheardForMs });
      for (let end = 0; end < 6; end++) {
        void fleet.crashUnder(new Map([[0, [`first${end}`, 'dead']]]));
        await fleet.clock.advance(600);
      }
      await fleet.clock.advance(2_000);
      const named = fleet.events.texts.find((text) => text.includes('"source":"evidence"'));
      expect(named).toContain(
        unheardForMs === 0 ? '"reportsCompleteMs":' : '"reportsCompleteMs":0,',
      );
      expect(named?.includes('"reportsCompleteMs":0,')).toBe(unheardForMs > 0);
      fleet.stop();
    }
  });

  it('names no bystander by crashes that the quarantine of another daemon explains', async () => {
    await start({ unheardForMs: 60_000 });
    const guard = fleet.guards[1]!;
    for (let end = 0; end < 5; end++) {
      const other = ['first0', `sound${end}`];
      void fleet.crashUnder(new Map([[1, other]]));
      const endpointId = `i-${end + 1}`;
      const ids = { endpointId, requestId: `d${end}`, partIds: [`first${end + 1}`, 'dead'] };
      if (end > 0) guard.receive({ crash: { ...ids, ageMs: 0, sentAgeMs: 80 } });
      await fleet.clock.advance(480);
    }
    const nowMs = fleet.clock.nowMs();
    const rest = { crashes: 5, firstCrashAtMs: nowMs - 2_400, isReleased: false, trials: 0 };
    const times = { nextTrialAtMs: nowMs + 300_000 };
    guard.receive({ entry: { partIds: ['dead'], version: 1, ...rest, ...times } });
    await fleet.clock.advance(5_000);
    expect(guard.find(['first0'])).toBeUndefined();
  });

  describe('a quarantine of another daemon', () => {
    const endpointIds = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5'];

    /** Of five crashes the bystanders are known to daemon 1, the requests with the cause elsewhere. */
    async function playBystanders(tell: (entry: QuarantineEntry) => void): Promise<void> {
      await start({ daemons: 2, unheardForMs: 60_000 });
      const firstCrashAtMs = fleet.clock.nowMs();
      const state = { version: 1, isReleased: false, trials: 0 };
      for (const [end] of endpointIds.entries()) {
        void fleet.crashUnder(new Map([[1, ['first0', `sound${end}`]]]));
        await fleet.clock.advance(480);
      }
      const nextTrialAtMs = firstCrashAtMs + 300_000;
      const cause = { partIds: ['dead'], crashes: 5, endpointIds, firstCrashAtMs, nextTrialAtMs };
      tell({ ...cause, ...state });
      await fleet.clock.advance(10_000);
    }

    it('takes its crashes off the evidence, although the reports with its parts are missing', async () => {
      await playBystanders((entry) => {
        for (const guard of fleet.guards)
          guard.receive({ entry: { ...entry, isByAllReports: true } });
      });
      expect(fleet.heldBackAt('first0')).toBe(0);
    });

    it('does so also when it is known by the store only', async () => {
      await playBystanders((entry) => {
        void storeQuarantine(fleet.log, 'duties', { ...entry, isByAllReports: true });
      });
      expect(fleet.heldBackAt('dead')).toBe(2);
      expect(fleet.heldBackAt('first0')).toBe(0);
    });

    it.each([EntrySource.Peer, EntrySource.Store])(
      'is lifted by an answer of 1.5 s ago that came whole here since the first crash: by the %s',
      async (source) => {
        await start({ daemons: 2 });
        const firstCrashAtMs = fleet.clock.nowMs();
        void fleet.crashUnder(new Map([[1, ['first0', 'sound']]]));
        await fleet.clock.advance(1_000);
        fleet.guards[0]!.answered({ partIds: ['first0'], sentAtMs: fleet.clock.nowMs() - 200 });
        await fleet.clock.advance(1_500);
        const state = { version: 1, isReleased: false, trials: 0 };
        const times = { firstCrashAtMs, nextTrialAtMs: firstCrashAtMs + 300_000 };
        const entry = { partIds: ['first0'], crashes: 5, endpointIds, ...times, ...state };
        if (source === EntrySource.Store) await storeQuarantine(fleet.log, 'duties', entry);
        else for (const guard of fleet.guards) guard.receive({ entry });
        await fleet.clock.advance(5_000);
        expect(fleet.heldBackAt('first0')).toBe(0);
      },
    );

    it('stays in spite of an answer before its crashes, also when it comes from a clock that is behind', async () => {
      await start({ daemons: 2 });
      void fleet.crashUnder(new Map([[1, ['first0', 'sound']]]));
      await fleet.clock.advance(1_000);
      fleet.guards[0]!.answered({ partIds: ['first0'], sentAtMs: fleet.clock.nowMs() - 200 });
      await fleet.clock.advance(60_000);
      const firstCrashAtMs = fleet.clock.nowMs() - 90_000;
      const state = { version: 1, isReleased: false, trials: 0 };
      const times = { firstCrashAtMs, nextTrialAtMs: fleet.clock.nowMs() + 300_000 };
      // The part was at an earlier crash too.
      const others = { crashes: 3, endpointIds: ['i-7', 'i-8', 'i-9'] };
      const entry = { partIds: ['first0'], ...others, ...times, ...state };
      for (const guard of fleet.guards) guard.receive({ entry });
      await fleet.clock.advance(5_000);
      expect(fleet.heldBackAt('first0')).toBe(2);
    });

    it('takes no crash off the evidence when it was decided with reports missing', async () => {
      await playBystanders((entry) => {
        for (const guard of fleet.guards)
          guard.receive({ entry: { ...entry, isByAllReports: false } });
      });
      // Which of the two is sound is for their trials to show, at the holder of the duties.
      expect(fleet.guards[1]!.find(['first0'])).toBeDefined();
      expect(fleet.events.texts.some((text) => text.includes('"isEarly":true'))).toBe(true);
    });
  });

  it('tells a daemon that missed the verdict of it when that one sends a poison request', async () => {
    await start({ unheardForMs: 10_000 });
    fleet.log.fault = KeyedLogFault.Down;
    // Nothing is heard of each other: daemon 0 alone names the part.
    for (let end = 0; end < 6; end++) {
      void fleet.crashUnder(new Map([[0, [`first${end}`, 'dead']]]));
      await fleet.clock.advance(600);
    }
    await fleet.clock.advance(4_000);
    expect(fleet.heldBackAt('dead')).toBe(1);
    void fleet.crashUnder(new Map([[1, ['first0', 'dead']]]));
    await fleet.clock.advance(1_000);
    expect(fleet.heldBackAt('dead')).toBe(7);
  });

  it('makes a trial once, although its holder changes', async () => {
    await start();
    await play(5_000);
    const ends = fleet.crashesAtMs.length;
    await fleet.clock.advance(400_000);
    void fleet.sendPoison('dead', 0);
    await fleet.clock.advance(1_000);
    fleet.holder = 1;
    await fleet.clock.advance(60_000);
    void fleet.sendPoison('dead', 1);
    await fleet.clock.advance(1_000);
    expect(fleet.crashesAtMs.length).toBe(ends + 1);
  });

  it('keeps a bounded number of records in the store, which each daemon reads at its start', async () => {
    await start();
    for (let part = 0; part < 70; part++) {
      for (let end = 0; end < 3; end++) {
        void fleet.sendPoison(`dead${part}`);
        await fleet.clock.advance(400);
      }
      for (let at = 0; at < 4; at++) fleet.answer(`first${at}`, 'sound');
    }
    await fleet.clock.advance(10_000);
    const { records } = await fleet.log.newest('duties');
    expect(fleet.heldBackAt('dead69')).toBe(7);
    expect(records.length).toBeGreaterThan(10);
    expect(records.length).toBeLessThanOrEqual(64);
  });

  it('ends everywhere when an answer comes whole after all', async () => {
    await start();
    await play(5_000);
    expect(fleet.heldBackAt('dead')).toBe(7);
    // Begun before the first end, when the part may not have been poison yet.
    fleet.guards[3]!.answered({
      partIds: ['first0', 'dead'],
      sentAtMs: fleet.crashesAtMs[0]! - 100,
    });
    await fleet.clock.advance(5_000);
    expect(fleet.heldBackAt('dead')).toBe(7);
    fleet.guards[3]!.answered({
      partIds: ['first0', 'dead'],
      sentAtMs: fleet.crashesAtMs[0]! + 500,
    });
    await fleet.clock.advance(5_000);
    expect(fleet.heldBackAt('dead')).toBe(0);
  });

  it('ends everywhere when an operator lifts it in the store', async () => {
    await start();
    await play(5_000);
    const lines: string[] = [];
    const run = (...args: string[]): Promise<QuarantineExit> =>
      runQuarantineCommand(args, new QuarantineAdmin(fleet.log, 'duties'), (line) => {
        lines.push(line);
      });
    expect(await run('list')).toBe(QuarantineExit.Done);
    expect(lines[0]).toContain('"partIds":["dead"]');
    expect(await run('release', 'other')).toBe(QuarantineExit.NotFound);
    expect(await run('release')).toBe(QuarantineExit.Usage);
    fleet.log.fault = KeyedLogFault.Down;
    expect(await run('release', 'dead')).toBe(QuarantineExit.Unavailable);
    fleet.log.fault = KeyedLogFault.None;
    expect(await run('release', 'dead')).toBe(QuarantineExit.Done);
    await fleet.clock.advance(5_000);
    expect(fleet.heldBackAt('dead')).toBe(0);
  });
});
