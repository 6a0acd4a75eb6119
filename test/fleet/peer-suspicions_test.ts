import { describe, expect, it } from 'vitest';
import { Random } from '../../src/core/index.js';
import { PeerSuspicions } from '../../src/fleet/peer-suspicions.js';

/** An endpoint goes dark while hundreds of daemons send to it. @returns the requests that it loses. */
function lostToDarkEndpoint(isShared: boolean): number {
  const daemons = 195;
  const endpoints = 40;
  const connectTimeoutMs = 600;
  const reportDelayMs = 150;
  const random = new Random(7);
  const suspicions = new PeerSuspicions();
  const ownSuspectUntilMs = new Map<number, number>();
  const pending: { readonly daemon: number; readonly atMs: number }[] = [];
  let lost = 0;
  for (let atMs = 0; atMs < 5_000; atMs += 2.5) {
    const due = pending.findIndex((report) => report.atMs > atMs);
    for (const { daemon, atMs: dueAtMs } of pending.splice(0, due < 0 ? pending.length : due)) {
      ownSuspectUntilMs.set(daemon, Infinity);
      if (isShared) suspicions.report('dark', `d${daemon}`, dueAtMs + reportDelayMs);
    }
    const daemon = random.int(0, daemons - 1);
    const isAvoided = ownSuspectUntilMs.has(daemon) || suspicions.isSuspected('dark', atMs);
    if (isAvoided || random.int(0, endpoints - 1) > 0) continue;
    lost += 1;
    pending.push({ daemon, atMs: atMs + connectTimeoutMs });
  }
  return lost;
}

describe('PeerSuspicions', () => {
  it('saves most of the requests that hundreds of daemons would each lose to one dark endpoint', () => {
    expect(lostToDarkEndpoint(true)).toBeLessThan(lostToDarkEndpoint(false) / 2);
  });

  it('does not follow a single daemon, whose own network may be at fault', () => {
    const suspicions = new PeerSuspicions();
    for (let atMs = 0; atMs < 1_000; atMs += 100) suspicions.report('i-1', 'd1', atMs);
    expect(suspicions.isSuspected('i-1', 1_000)).toBe(false);
  });

  it('keeps a bounded number of endpoints, so that a flood of datagrams does not fill the memory', () => {
    const suspicions = new PeerSuspicions();
    for (let number = 0; number < 20_000; number++) {
      suspicions.report(`i-${number}`, 'd1', 0);
      suspicions.report(`i-${number}`, 'd2', 0);
    }
    expect(suspicions.isSuspected('i-0', 1)).toBe(false);
    expect(suspicions.isSuspected('i-19999', 1)).toBe(true);
  });

  it('ends by itself, so that an endpoint that recovered is used again', () => {
    const suspicions = new PeerSuspicions();
    suspicions.report('i-1', 'd1', 0);
    suspicions.report('i-1', 'd2', 10);
    expect(suspicions.isSuspected('i-1', 100)).toBe(true);
    expect(suspicions.isSuspected('i-1', 4_000)).toBe(false);
  });
});
