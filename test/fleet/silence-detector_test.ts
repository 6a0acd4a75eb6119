import { describe, expect, it } from 'vitest';
import { VirtualClock } from '../../src/core/index.js';
import {
  EndpointProbe,
  EndpointRegistry,
  EndpointState,
  LeavingMerge,
  SilenceDetector,
  silenceBoundMs,
  SilenceVerdict,
  type ProbeAnswer,
} from '../../src/fleet/index.js';
import { Deployment } from '../../src/settings/index.js';

class FakeProbe extends EndpointProbe {
  answer: ProbeAnswer | undefined = { startedAtMs: undefined, isDraining: false };
  probes = 0;

  override async probe(): Promise<ProbeAnswer> {
    this.probes += 1;
    if (!this.answer) throw new Error('no answer');
    return this.answer;
  }
}

function setUp() {
  const clock = new VirtualClock();
  const registry = new EndpointRegistry({ clock, leaving: new LeavingMerge() });
  const values = { service: 'chat', region: 'r', failure_domain: 'f', vm_id: 'v' };
  registry.applyDeployment(
    Deployment.from(
      new Map([['prod/t/endpoints/a', { ...values, base_url: 'http://127.0.0.1:1' }]]),
    ),
  );
  const probe = new FakeProbe();
  const silence = new SilenceDetector({ clock, registry, probe });
  const first = () => registry.views('t/chat')[0]!;
  registry.restore(first().id);
  return { clock, registry, probe, silence, first };
}

describe('SilenceDetector', () => {
  it('uses the larger of the floor and eight times the p99 gap', () => {
    expect(silenceBoundMs(undefined)).toBe(3_000);
    expect(silenceBoundMs(100)).toBe(3_000);
    expect(silenceBoundMs(500)).toBe(4_000);
  });

  it('does not disturb a stream whose events keep coming', async () => {
    const { clock, silence, first } = setUp();
    let silent = 0;
    const watch = silence.watch(first().id, 3_000, () => silent++);
    for (let second = 0; second < 20; second++) {
      await clock.advance(1_000);
      watch.touch();
    }
    expect(silent).toBe(0);
    watch.end();
    await clock.advance(10_000);
    expect(silent).toBe(0);
    expect(first().state).toBe(EndpointState.Live);
  });

  it('restores an endpoint that answers a new connection, after ending the silent one', async () => {
    const { clock, silence, probe, first } = setUp();
    let silent = 0;
    silence.watch(first().id, 3_000, () => silent++);
    await clock.advance(3_000);
    expect(silent).toBe(1);
    expect(probe.probes).toBe(1);
    expect(first().state).toBe(EndpointState.Live);
  });

  it('keeps a silent endpoint without new work and probes it until it answers', async () => {
    const { clock, silence, probe, first } = setUp();
    probe.answer = undefined;
    silence.watch(first().id, 3_000, () => undefined);
    await clock.advance(3_000);
    expect(await silence.verdict(first().id)).toBe(SilenceVerdict.Silent);
    await clock.advance(60_000);
    expect(first().state).toBe(EndpointState.Suspect);
    expect(probe.probes).toBeLessThan(12);
    probe.answer = { startedAtMs: undefined, isDraining: false };
    await clock.advance(10_000);
    expect(first().state).toBe(EndpointState.Live);
  });

  it('takes a draining answer as final and a later start time as a new endpoint', async () => {
    const { clock, silence, probe, first } = setUp();
    const old = first().id;
    probe.answer = { startedAtMs: 7, isDraining: true };
    silence.watch(old, 3_000, () => undefined);
    await clock.advance(3_000);
    expect(first().state).toBe(EndpointState.Leaving);
    expect(first().id).not.toBe(old);
  });
});
