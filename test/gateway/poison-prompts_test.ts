import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { RequestKind } from '../../src/gateway/traffic-config.js';
import { storeQuarantine } from '../../src/quarantine/quarantine-records.js';
import { trafficConfig, trafficRoute } from './configs.js';
import { GatewayFleet, type GatewayFleetOptions } from './gateway-fleet.js';
import { GatewayHarness, respondWith, type CallerResponse } from './gateway-harness.js';
import { RecordingEventLog } from './recording-event-log.js';

const poisonPart = 'dead0001';
const sharedPart = '5a4ed001';

/** Requests that may still reach endpoints, and from when on that is counted. */
const allowedArrivals = 3;
const stabilityWindowMs = 4_000;
const countedCrash = 5;

const requestPeriodMs = 250;
const runMs = 8_000;

let requests = 0;

/** A request that shares its first part, and with `part` its second, with others. */
function call(gateway: GatewayHarness, part: string): Promise<CallerResponse> {
  const ownPart = (++requests).toString(16).padStart(8, '0');
  const prompt = `${sharedPart}:100,${part}:60,${ownPart}:40`;
  return gateway.call({
    method: 'POST',
    body: 'prompt',
    headers: { 'oriolestack-prompt-prefix': prompt, 'oriolestack-token-usage': '200,20' },
  });
}

describe('a trial of a quarantine', () => {
  it('is not used up by a request for which there is no endpoint, so that sound prompts are freed', async () => {
    const events = new RecordingEventLog();
    const harness = new GatewayHarness(events);
    const nowMs = harness.clock.nowMs();
    const times = { firstCrashAtMs: nowMs - 60_000, nextTrialAtMs: nowMs };
    const state = { version: 1, crashes: 3, isReleased: false, trials: 0 };
    await storeQuarantine(harness.store, 'duties', { partIds: [sharedPart], ...state, ...times });
    try {
      await harness.start(trafficConfig({ routes: [trafficRoute({ hasPrompt: true })] }));
      while (!events.texts.some((text) => text.includes('"event":504'))) await harness.wait(100);
      expect((await call(harness, 'beef0001')).status).toBe(503);
      await harness.addEndpoint(respondWith(200, 'whole'));
      expect((await call(harness, 'beef0002')).status).toBe(200);
      expect((await call(harness, 'beef0003')).status).toBe(200);
    } finally {
      await harness.stop();
    }
  });
});

describe('requests with a part under which endpoints crash', () => {
  let fleet: GatewayFleet;

  afterEach(async () => {
    await fleet.stop();
  });

  async function start(changes: Partial<GatewayFleetOptions> = {}): Promise<void> {
    const route = trafficRoute({ kind: RequestKind.Stream, isResumable: true, hasPrompt: true });
    fleet = new GatewayFleet({
      config: trafficConfig({ routes: [{ ...route, maxAttempts: 3 }] }),
      gateways: 4,
      endpoints: 14,
      poisonPart,
      poisonEvents: 0,
      ...changes,
    });
    await fleet.start();
  }

  /** Sends poison requests and sound ones, which share the first part, to all gateways in turn. */
  async function play(): Promise<{ sound: CallerResponse[]; poison: CallerResponse[] }> {
    const open: { sound: Promise<CallerResponse>[]; poison: Promise<CallerResponse>[] } = {
      sound: [],
      poison: [],
    };
    const endAtMs = Date.now() + runMs;
    for (let round = 0; Date.now() < endAtMs; round++) {
      const gateway = fleet.gateways[round % fleet.gateways.length]!;
      const other = fleet.gateways[(round + 1) % fleet.gateways.length]!;
      open.poison.push(call(gateway, poisonPart));
      open.sound.push(call(other, `beef${String(round).padStart(4, '0')}`));
      await sleep(requestPeriodMs);
    }
    return { sound: await Promise.all(open.sound), poison: await Promise.all(open.poison) };
  }

  it('end two endpoints at most by themselves, where the route allows more attempts', async () => {
    const route = trafficRoute({ maxAttempts: 5, hasPrompt: true });
    await start({ config: trafficConfig({ routes: [route] }), gateways: 1, endpoints: 6 });
    const { status } = await call(fleet.gateways[0]!, poisonPart);
    expect(status).toBe(502);
    expect(fleet.crashesAtMs.length).toBeLessThanOrEqual(2);
  });

  it('are known as such to a daemon that starts later, before it says that it is ready', async () => {
    await start();
    await play();
    const late = await fleet.addGateway();
    while (!late.gateway.isReady) await sleep(10);
    const before = fleet.crashesAtMs.length;
    const held = await call(late, poisonPart);
    expect(held.status).toBe(503);
    expect(Number(held.headers['retry-after'])).toBeGreaterThan(1);
    expect((await call(late, 'beef9999')).status).toBe(200);
    expect(fleet.crashesAtMs.length).toBe(before);
  });

  // 24 endpoints crashed under one part of a prompt, 17 requests with it came after the fifth.
  it.each([
    ['before their first event', 0],
    ['after their first event', 1],
  ])(
    'stop reaching endpoints on all daemons, which would end one after the other: %s',
    async (_, poisonEvents) => {
      await start({ poisonEvents });
      const { sound } = await play();
      const late = fleet.poisonArrivalsAfterCrash(countedCrash, stabilityWindowMs);
      expect(late.length).toBeLessThanOrEqual(allowedArrivals);
      // Sound requests with the same first part go on; half of them is the least that users accept.
      const lastSound = sound.slice(-10);
      expect(lastSound.filter(({ isComplete }) => isComplete).length).toBeGreaterThanOrEqual(5);
    },
  );
});
