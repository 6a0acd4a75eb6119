import { beforeEach, describe, expect, it } from 'vitest';
import { HistoryKind, HistoryRecorder, eventsOf } from '../../bench/histories/history.js';
import { NoticingEndpoints } from '../../bench/histories/noticing-endpoints.js';
import { routeOf } from '../../bench/histories/notice-world.js';
import { SimulatedProcess } from '../../bench/histories/process.js';
import { SimulatedGateway, type GatewayAnswer } from '../../bench/histories/simulated-gateway.js';
import { Random, VirtualClock } from '../../src/core/index.js';
import { RequestKind } from '../../src/gateway/traffic-config.js';

const service = 'orders';

interface Ended extends GatewayAnswer {
  /** Time from the call to its answer, in milliseconds. */
  readonly tookMs: number;
  /** Epoch milliseconds. */
  readonly endedAtMs: number;
}

describe('a service whose endpoints all want a pause', () => {
  let clock: VirtualClock;
  let history: HistoryRecorder;
  let gateway: SimulatedGateway;
  let calls: number;

  beforeEach(() => {
    clock = new VirtualClock();
    history = new HistoryRecorder(clock);
    calls = 0;
    const endpoints = new NoticingEndpoints({
      clock,
      history,
      random: new Random(3),
      failureRatio: 0,
    });
    gateway = new SimulatedGateway({
      clock,
      process: new SimulatedProcess(clock),
      random: new Random(4),
      history,
      endpoints,
      run: 'front-1',
      hasFaults: () => false,
      isCut: () => false,
      tellLeaving: () => undefined,
    });
    for (const process of endpoints.processes) {
      gateway.endpoints.register(endpoints.registration(process));
    }
  });

  /** Puts the endpoints into pauses of so many milliseconds, in turns. */
  function pause(...pausesMs: number[]): void {
    const { registry, pauses } = gateway.known;
    const nowMs = clock.nowMs();
    registry.views(gateway.endpoints.serviceId(service)).forEach(({ id }, index) => {
      pauses.record(id, nowMs + pausesMs[index % pausesMs.length]!, nowMs);
    });
  }

  async function call(
    timeoutMs: number,
    { kind = RequestKind.Idempotent, priority = 1 } = {},
  ): Promise<Ended> {
    const startedAtMs = clock.nowMs();
    const requestId = `call-${calls++}`;
    const route = { ...routeOf('get', kind), priority };
    const answer = await gateway.call(
      {
        requestId,
        route: { ...route, shares: [{ serviceName: service, weight: 1 }] },
        key: kind === RequestKind.AtMostOnce ? requestId : '',
        events: 0,
        deadlineAtMs: startedAtMs + timeoutMs,
      },
      new AbortController().signal,
    );
    return { ...answer, tookMs: clock.nowMs() - startedAtMs, endedAtMs: clock.nowMs() };
  }

  async function callNow(timeoutMs: number): Promise<Ended> {
    const ended = call(timeoutMs);
    await clock.advance(timeoutMs + 1_000);
    return ended;
  }

  const arrivals = () => eventsOf(history.events, HistoryKind.RequestArrived);
  const retryAtMs = ({ endedAtMs, headers }: Ended): number =>
    endedAtMs + Number(headers['retry-after']) * 1_000;

  describe('a caller', () => {
    const pausesMs = [200, 700, 990, 1_200, 4_000, 60_000];
    const timeoutsMs = [100, 300, 3_000, 30_000];
    const cases = pausesMs.flatMap((pauseMs) =>
      timeoutsMs.map((timeoutMs) => ({ pauseMs, timeoutMs })),
    );

    it.each(cases)(
      'with $timeoutMs ms is served after a pause of $pauseMs ms, or refused at once until its end',
      async ({ pauseMs, timeoutMs }) => {
        pause(pauseMs);
        const pausedUntilMs = clock.nowMs() + pauseMs;
        const ended = await callNow(timeoutMs);
        expect(ended.tookMs).toBeLessThanOrEqual(timeoutMs);
        if (ended.status === 200) {
          expect(arrivals().every(({ atMs }) => atMs >= pausedUntilMs)).toBe(true);
          return;
        }
        expect(ended.status).toBe(503);
        expect(ended.tookMs).toBe(0);
        expect(retryAtMs(ended)).toBeGreaterThanOrEqual(pausedUntilMs);
        // Later than that only by what keeps those that come back from coming together.
        expect(retryAtMs(ended)).toBeLessThanOrEqual(pausedUntilMs + 1_000);
        expect(arrivals()).toEqual([]);
      },
    );

    it('is refused at once when too little of its time is left after the pause', async () => {
      const late: string[] = [];
      for (let timeoutMs = 650; timeoutMs <= 1_200; timeoutMs += 25) {
        pause(600);
        const { status, tookMs } = await callNow(timeoutMs);
        if (status !== 200 && tookMs > 0) late.push(`${status} after ${tookMs} ms`);
        await clock.advance(5_000);
      }
      expect(late).toEqual([]);
    });

    it('is told the earliest end of several pauses', async () => {
      pause(9_000, 4_000, 6_000);
      const pausedUntilMs = clock.nowMs() + 4_000;
      const ended = await callNow(3_000);
      expect(ended.status).toBe(503);
      expect(retryAtMs(ended)).toBeGreaterThanOrEqual(pausedUntilMs);
      expect(retryAtMs(ended)).toBeLessThanOrEqual(pausedUntilMs + 1_000);
    });

    it('is served by the one endpoint that does not pause', async () => {
      pause(9_000, 0, 6_000);
      const ended = await callNow(3_000);
      expect(ended.status).toBe(200);
      expect(ended.tookMs).toBeLessThan(500);
    });
  });

  describe('the end of the pause', () => {
    it('lets urgent callers come back first, when they were refused', async () => {
      pause(5_000);
      const urgent = call(3_000, { priority: 0 });
      const patient = call(3_000, { priority: 5 });
      await clock.advance(10);
      expect(retryAtMs(await urgent)).toBeLessThan(retryAtMs(await patient));
    });

    it('serves the many that waited, urgent ones first, and each unsafe one once', async () => {
      pause(600);
      const pausedUntilMs = clock.nowMs() + 600;
      const kind = RequestKind.AtMostOnce;
      const answers = [5, 3, 0].flatMap((priority) =>
        Array.from({ length: 20 }, () => call(5_000, { kind, priority })),
      );
      await clock.advance(8_000);
      expect((await Promise.all(answers)).map(({ status }) => status)).toEqual(
        answers.map(() => 200),
      );
      const atMs = (from: number): number[] =>
        arrivals()
          .filter(({ requestId }) => Math.floor(Number(requestId.slice(5)) / 20) === from)
          .map((arrived) => arrived.atMs);
      const mean = (times: number[]): number =>
        times.reduce((sum, time) => sum + time, 0) / times.length;
      expect(mean(atMs(2))).toBeLessThan(mean(atMs(1)));
      expect(mean(atMs(1))).toBeLessThan(mean(atMs(0)));
      expect(Math.min(...atMs(0), ...atMs(1), ...atMs(2))).toBeGreaterThanOrEqual(pausedUntilMs);
      const ran = eventsOf(history.events, HistoryKind.WorkRan).map(({ workId }) => workId);
      expect(new Set(ran).size).toBe(ran.length);
      expect(ran).toHaveLength(60);
    });

    it('sees one request at each endpoint until it is accepted, not all that waited', async () => {
      pause(600);
      const answers = Array.from({ length: 40 }, () => call(5_000));
      await clock.advance(8_000);
      expect((await Promise.all(answers)).map(({ status }) => status)).toEqual(
        answers.map(() => 200),
      );
      // The first answers take at least 5 ms and one way each; until then only probes arrive.
      const first = Math.min(...arrivals().map(({ atMs }) => atMs));
      const together = arrivals().filter(({ atMs }) => atMs < first + 5);
      expect(together.length).toBeLessThanOrEqual(3);
    });
  });
});
