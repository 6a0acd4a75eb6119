import { describe, expect, it } from 'vitest';
import { VirtualClock } from '../../src/core/index.js';
import {
  EndpointProbe,
  EndpointRegistry,
  EndpointState,
  LeavingSet,
  StallDetector,
  stallTimeoutMs,
  StallCause,
  type ProbeResponse,
} from '../../src/fleet/index.js';
import { Deployment } from '../../src/settings/index.js';

class FakeProbe extends EndpointProbe {
  answer: ProbeResponse | undefined = { startedAtMs: undefined, isDraining: false };
  probeCount = 0;

  override async probe(): Promise<ProbeResponse> {
    this.probeCount += 1;
    if (!this.answer) throw new Error('no answer');
    return this.answer;
  }
}

function setUp() {
  const clock = new VirtualClock();
  const registry = new EndpointRegistry({ clock, leaving: new LeavingSet() });
  const values = { service: 'chat', region: 'r', failure_domain: 'f', vm_id: 'v' };
  registry.applyDeployment(
    Deployment.from(
      new Map([['prod/t/endpoints/a', { ...values, base_url: 'http://127.0.0.1:1' }]]),
    ),
  );
  const probe = new FakeProbe();
  const detector = new StallDetector({ clock, registry, probe });
  const first = () => registry.views('t/chat')[0]!;
  registry.restore(first().id);
  return { clock, registry, probe, detector, first };
}

describe('StallDetector', () => {
  it('uses the larger of the floor and eight times the p99 gap', () => {
    expect(stallTimeoutMs(undefined)).toBe(3_000);
    expect(stallTimeoutMs(100)).toBe(3_000);
    expect(stallTimeoutMs(500)).toBe(4_000);
  });

  it('does not report a stream that keeps delivering events', async () => {
    const { clock, detector, first } = setUp();
    let stallCount = 0;
    const watch = detector.watch(first().id, 3_000, () => stallCount++);
    for (let second = 0; second < 20; second++) {
      await clock.advance(1_000);
      watch.touch();
    }
    expect(stallCount).toBe(0);
    watch.end();
    await clock.advance(10_000);
    expect(stallCount).toBe(0);
    expect(first().state).toBe(EndpointState.Live);
  });

  it('restores an endpoint that answers on a new connection, after reporting the stalled one', async () => {
    const { clock, detector, probe, first } = setUp();
    let stallCount = 0;
    detector.watch(first().id, 3_000, () => stallCount++);
    await clock.advance(3_000);
    expect(stallCount).toBe(1);
    expect(probe.probeCount).toBe(1);
    expect(first().state).toBe(EndpointState.Live);
  });

  it('keeps an unreachable endpoint suspect and probes it until it answers', async () => {
    const { clock, detector, probe, first } = setUp();
    probe.answer = undefined;
    detector.watch(first().id, 3_000, () => undefined);
    await clock.advance(3_000);
    expect(await detector.diagnose(first())).toBe(StallCause.Unreachable);
    await clock.advance(60_000);
    expect(first().state).toBe(EndpointState.Suspect);
    expect(probe.probeCount).toBeLessThan(12);
    probe.answer = { startedAtMs: undefined, isDraining: false };
    await clock.advance(10_000);
    expect(first().state).toBe(EndpointState.Live);
  });

  it('treats a draining answer as final and a later start time as a new endpoint', async () => {
    const { clock, detector, probe, first } = setUp();
    const old = first().id;
    probe.answer = { startedAtMs: 7, isDraining: true };
    detector.watch(old, 3_000, () => undefined);
    await clock.advance(3_000);
    expect(first().state).toBe(EndpointState.Leaving);
    expect(first().id).not.toBe(old);
  });

  describe('an endpoint whose registration has ended', () => {
    it('is probed like any other, so that a silent stream of one that serves on is not cut', async () => {
      const { registry, probe, detector, first } = setUp();
      const gone = first();
      registry.applyDeployment(Deployment.from(new Map()));
      expect(await detector.diagnose(gone)).toBe(StallCause.Slow);
      expect(probe.probeCount).toBe(1);
    });

    it('is not probed for ever once it does not respond', async () => {
      const { clock, registry, probe, detector, first } = setUp();
      const gone = first();
      registry.applyDeployment(Deployment.from(new Map()));
      probe.answer = undefined;
      expect(await detector.diagnose(gone)).toBe(StallCause.Unreachable);
      await clock.advance(60_000);
      expect(probe.probeCount).toBe(1);
    });
  });

  // The later process got the probes for the earlier one, within a pause that it had asked for.
  it('probes no later process for the one that has ended at its address', async () => {
    const { registry, probe, detector, first } = setUp();
    const ended = first();
    registry.observeProcessStart(ended.name, 1_000);
    expect(first().id).not.toBe(ended.id);
    expect(await detector.diagnose(ended)).toBe(StallCause.Unreachable);
    expect(probe.probeCount).toBe(0);
  });

  it('takes no endpoint for unreachable that goes on with other streams while its health check waits', async () => {
    const { probe, detector, first } = setUp();
    probe.answer = undefined;
    const diagnosis = detector.diagnose(first());
    detector.recordData(first().id);
    expect(await diagnosis).toBe(StallCause.Slow);
  });
});
