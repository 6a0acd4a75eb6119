import { describe, expect, it } from 'vitest';
import {
  AdmissionController,
  RefusalCode,
  type AdmissionRequest,
  type Refusal,
  type Ticket,
} from '../../src/admission/index.js';
import { Outcome, Random, RequestError, VirtualClock, WorkClass } from '../../src/core/index.js';
import { limitsSchema } from '../../src/settings/index.js';

const emptyCapacity = {
  batchSlots: 0,
  runningRequests: 0,
  queuedRequests: 0,
  shortReserveRatio: 0,
};
const defaultLimits = limitsSchema.parse({});

function request(changes: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return {
    requestId: 'r',
    workspaceId: 'team/big',
    serviceId: 'team/assistant',
    workClass: WorkClass.Short,
    costTokens: 100,
    expectedUsd: 0,
    startByMs: 1_000_000,
    fairWeight: 1,
    limits: defaultLimits,
    ...changes,
  };
}

class Fixture {
  readonly clock = new VirtualClock(0);
  readonly admission = new AdmissionController({ clock: this.clock, random: new Random(3) });
  readonly tickets: Ticket[] = [];
  readonly refusals: Refusal[] = [];

  constructor(window?: number) {
    if (window === undefined) return;
    this.admission.updatePeers(1, new Map());
    // The window starts at twice the fair share, bounded by 1.25 times the slots.
    this.admission.updateCapacity('team/assistant', {
      ...emptyCapacity,
      batchSlots: window / 1.25,
    });
  }

  offer(changes: Partial<AdmissionRequest> = {}): () => void {
    return this.admission.offer(request(changes), {
      admitted: (ticket) => this.tickets.push(ticket),
      refused: (refusal) => this.refusals.push(refusal),
    });
  }

  /** Ends the oldest tickets, one every 100 ms, so that the controller measures its rate. */
  endEvery100Ms(count: number): void {
    for (let ended = 0; ended < count; ended++) {
      this.clock.runUntil(this.clock.nowMs() + 100);
      this.tickets.shift()?.end();
    }
  }
}

describe('AdmissionController', () => {
  it('admits immediately while the window has capacity, then in fair order', () => {
    const fixture = new Fixture(2);
    for (let index = 0; index < 12; index++) fixture.offer();
    fixture.offer({ workspaceId: 'team/small' });
    expect(fixture.tickets).toHaveLength(2);
    fixture.endEvery100Ms(2);
    // A workspace with one request does not wait behind the backlog of another.
    const started = fixture.tickets.map((ticket) => ticket.request.workspaceId);
    expect(started).toContain('team/small');
  });

  it('refuses immediately with a retry time when the expected wait exceeds the deadline', () => {
    const fixture = new Fixture(1);
    for (let index = 0; index < 30; index++) fixture.offer();
    fixture.endEvery100Ms(10);
    const nowMs = fixture.clock.nowMs();
    fixture.offer({ startByMs: nowMs + 500 });
    expect(fixture.refusals).toHaveLength(1);
    const [refusal] = fixture.refusals;
    expect(refusal?.code).toBe(RefusalCode.Overloaded);
    expect(refusal?.status).toBe(503);
    expect(refusal?.retryAtMs).toBeGreaterThan(nowMs);
    // The expected wait of another workspace is shorter, so its request is queued.
    fixture.offer({ workspaceId: 'team/small', startByMs: nowMs + 500 });
    expect(fixture.refusals).toHaveLength(1);
  });

  it('refuses a queued request when its deadline passes and releases its limits', () => {
    const fixture = new Fixture(1);
    const limits = limitsSchema.parse({ concurrency_requests: '2' });
    fixture.offer({ limits });
    fixture.offer({ limits, startByMs: 300 });
    fixture.offer({ limits });
    expect(fixture.refusals.map(({ code }) => code)).toEqual([RefusalCode.ConcurrencyLimited]);
    fixture.clock.runUntil(400);
    expect(fixture.refusals[1]?.code).toBe(RefusalCode.QueueTimeout);
    fixture.offer({ limits });
    expect(fixture.refusals).toHaveLength(2);
  });

  it('serves short work before long work without starving long work', () => {
    const fixture = new Fixture(1);
    fixture.offer();
    for (let index = 0; index < 40; index++) {
      fixture.offer({ workClass: WorkClass.Long, costTokens: 100 });
      fixture.offer({ workClass: WorkClass.Short, costTokens: 100 });
    }
    const started: WorkClass[] = [];
    for (let index = 0; index < 40; index++) {
      fixture.tickets.shift()?.end();
      const [ticket] = fixture.tickets;
      if (ticket) started.push(ticket.request.workClass);
    }
    const long = started.filter((workClass) => workClass === WorkClass.Long).length;
    expect(long).toBeGreaterThanOrEqual(8);
    expect(long).toBeLessThanOrEqual(12);
  });

  it('reserves part of the window for short work', () => {
    const fixture = new Fixture();
    const capacity = { ...emptyCapacity, batchSlots: 6.4, shortReserveRatio: 0.25 };
    fixture.admission.updateCapacity('team/assistant', capacity);
    for (let index = 0; index < 8; index++) fixture.offer({ workClass: WorkClass.Long });
    expect(fixture.tickets).toHaveLength(6);
    for (let index = 0; index < 8; index++) fixture.offer({ workClass: WorkClass.Short });
    expect(fixture.tickets).toHaveLength(8);
  });

  it('lets workspaces without requests in flight exceed a full window slightly', () => {
    const fixture = new Fixture(20);
    for (let index = 0; index < 30; index++) fixture.offer();
    expect(fixture.tickets).toHaveLength(20);
    for (let index = 0; index < 10; index++) fixture.offer({ workspaceId: `team/small-${index}` });
    // The excess is a tenth of the window and one request.
    expect(fixture.tickets).toHaveLength(23);
  });

  it('does not count a withdrawn request', () => {
    const fixture = new Fixture(1);
    fixture.offer();
    const withdraw = fixture.offer();
    withdraw();
    expect(fixture.admission.queued).toBe(0);
    fixture.tickets[0]?.end();
    expect(fixture.tickets).toHaveLength(1);
  });

  it('ignores a second end of a ticket', () => {
    const fixture = new Fixture(1);
    for (let index = 0; index < 4; index++) fixture.offer();
    fixture.tickets[0]?.end();
    fixture.tickets[0]?.end();
    expect(fixture.tickets).toHaveLength(2);
  });

  it('narrows the window to its share of the slots while requests queue at the engines', () => {
    const { admission, clock } = new Fixture(40);
    const before = admission.window('team/assistant');
    for (let round = 0; round < 5; round++) {
      clock.runUntil(clock.nowMs() + 1_000);
      admission.updateCapacity('team/assistant', {
        ...emptyCapacity,
        batchSlots: 32,
        queuedRequests: 20,
      });
    }
    // The share of a single daemon is all slots except the tenth that stays free.
    expect(before).toBe(40);
    expect(admission.window('team/assistant')).toBeCloseTo(28.8);
  });

  describe('admit', () => {
    it('rejects with a not_run error that carries the retry time', async () => {
      const { admission } = new Fixture();
      const limits = limitsSchema.parse({ rate_per_s: '0.5', burst_requests: '1' });
      const ticket = await admission.admit(request({ limits }));
      ticket.end();
      const error: unknown = await admission.admit(request({ limits })).catch((e: unknown) => e);
      expect(error).toBeInstanceOf(RequestError);
      if (!(error instanceof RequestError)) return;
      expect([error.status, error.code, error.outcome]).toEqual([
        429,
        RefusalCode.RateLimited,
        Outcome.NotRun,
      ]);
      expect(error.retryAtMs).toBeGreaterThanOrEqual(2_000);
    });

    it('withdraws a queued request when its caller disconnects', async () => {
      const { admission } = new Fixture(1);
      await admission.admit(request());
      const abort = new AbortController();
      const queued = admission.admit(request(), abort.signal);
      abort.abort();
      await expect(queued).rejects.toMatchObject({ outcome: Outcome.NotRun });
      expect(admission.queued).toBe(0);
    });

    it('refuses new requests after stop', async () => {
      const { admission } = new Fixture();
      admission.stop();
      await expect(admission.admit(request())).rejects.toMatchObject({ code: 'stopping' });
    });
  });
});
