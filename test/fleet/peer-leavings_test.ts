import { describe, expect, it } from 'vitest';
import { Random } from '../../src/core/index.js';
import { PeerLeavings } from '../../src/fleet/peer-leavings.js';
import { encodeBatch, BatchScope, leavingMessage } from '../../src/membership/broadcast-message.js';
import { NullEventLog } from '../../src/telemetry/index.js';

const deliveryMs = 150;
const drainMs = 2_500;
const endpoints = 40;

interface Fleet {
  readonly daemons: number;
  readonly requestsPerS: number;
  readonly isShared: boolean;
}

/**
 * An endpoint leaves by its responses while its registration cannot say so, as in an outage of the
 * store, and ends after the drain bound. @returns requests that reach it meanwhile, and messages.
 */
function playLeaving({ daemons, requestsPerS, isShared }: Fleet): {
  arrivals: number;
  messages: number;
} {
  const random = new Random(7);
  const leavings = new PeerLeavings({ events: new NullEventLog() });
  const told = new Set<number>();
  let arrivals = 0;
  let messages = 0;
  let heardAtMs = Infinity;
  for (let atMs = 0; atMs < drainMs; atMs += 1_000 / requestsPerS) {
    const daemon = random.int(0, daemons - 1);
    if (atMs >= heardAtMs) leavings.report('e#1', 'front', deliveryMs, atMs);
    if (told.has(daemon) || leavings.isLeaving('e#1', atMs)) continue;
    if (random.int(0, endpoints - 1) > 0) continue;
    arrivals += 1;
    told.add(daemon);
    if (!isShared) continue;
    messages += 1;
    heardAtMs = Math.min(heardAtMs, atMs + deliveryMs);
  }
  return { arrivals, messages };
}

describe('PeerLeavings', () => {
  describe('an endpoint that leaves while its registration says ready', () => {
    it.each([
      { daemons: 7, requestsPerS: 400 },
      { daemons: 195, requestsPerS: 2_000 },
    ])('gets fewer late requests from $daemons daemons than without reports', (fleet) => {
      const alone = playLeaving({ ...fleet, isShared: false });
      const shared = playLeaving({ ...fleet, isShared: true });
      expect(shared.arrivals).toBeLessThan(alone.arrivals / 2);
    });

    it('stays within the 13 KB/s of a daemon in a minute with 150 leavings, at 195 daemons', () => {
      const { messages } = playLeaving({ daemons: 195, requestsPerS: 2_000, isShared: true });
      const id = 'i-0123456789abcdef0:registered/i-0123456789abcdef0#1764900000000';
      const message = leavingMessage('front-litoral-rosario-12', id, 0);
      const batch = { scope: BatchScope.Receiver, sender: 'front-1', senderAddress: '10.0.0.1:9' };
      const ofOne = encodeBatch({ ...batch, messages: [message] }).length;
      const leavingsPerS = 150 / 60;
      expect(messages * ofOne * leavingsPerS).toBeLessThan(13_000);
    });
  });

  describe('a report', () => {
    const leavings = (): PeerLeavings => new PeerLeavings({ events: new NullEventLog() });

    it('ends by itself, so that a forged one is no loss of a sound endpoint for good', () => {
      const known = leavings();
      known.report('e#1', 'front-2', 0, 1_000);
      expect(known.isLeaving('e#1', 30_999)).toBe(true);
      expect(known.isLeaving('e#1', 31_000)).toBe(false);
      expect(known.isEmpty).toBe(true);
    });

    it('is about one start: a later one under the same id is used', () => {
      const known = leavings();
      known.report('e#1', 'front-2', 0, 0);
      expect(known.isLeaving('e#2', 1)).toBe(false);
    });

    it('holds from the response on, and an older one changes nothing', () => {
      const known = leavings();
      known.report('e#1', 'front-2', 10_000, 0);
      expect(known.isLeaving('e#1', 19_999)).toBe(true);
      known.report('e#1', 'front-3', 25_000, 0);
      expect(known.isLeaving('e#1', 20_000)).toBe(false);
      known.report('e#1', 'front-3', 1e15, 0);
      expect(known.isEmpty).toBe(true);
    });

    it('is one of a bounded number, so that a flood of datagrams does not fill the memory', () => {
      const known = leavings();
      for (let number = 0; number < 20_000; number++) known.report(`e#${number}`, 'front-2', 0, 0);
      expect(known.isLeaving('e#0', 1)).toBe(false);
      expect(known.isLeaving('e#19999', 1)).toBe(true);
    });
  });
});
