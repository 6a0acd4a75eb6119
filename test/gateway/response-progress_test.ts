import { beforeEach, describe, expect, it } from 'vitest';
import { VirtualClock } from '../../src/core/index.js';
import { ProgressState, ResponseProgress } from '../../src/gateway/response-progress.js';

const stallTimeoutMs = 4_000;

describe('ResponseProgress', () => {
  let clock: VirtualClock;
  let progress: ResponseProgress;

  beforeEach(() => {
    clock = new VirtualClock();
    progress = new ResponseProgress(clock, stallTimeoutMs);
  });

  /** Sends a byte of an event each `periodMs`. */
  async function trickle(periodMs: number, times: number): Promise<void> {
    for (let count = 0; count < times; count++) {
      await clock.advance(periodMs);
      progress.recordPartialEvent();
    }
  }

  it('is silent once no data has come for 1.2 s', async () => {
    progress.recordProgress();
    await clock.advance(1_199);
    expect(progress.state).toBe(ProgressState.Flowing);
    await clock.advance(1);
    expect(progress.state).toBe(ProgressState.Silent);
  });

  // An endpoint that fell silent in the middle of an event was taken for one that trickles.
  it('is silent and never stalled when the silence falls in the middle of an event', async () => {
    progress.recordProgress(true);
    await clock.advance(2 * stallTimeoutMs);
    expect(progress.state).toBe(ProgressState.Silent);
    progress.recordProgress();
    expect(progress.state).toBe(ProgressState.Flowing);
  });

  it('is not stalled when the event goes on after the silence in pieces', async () => {
    progress.recordProgress(true);
    await clock.advance(stallTimeoutMs);
    progress.recordPartialEvent();
    expect(progress.state).toBe(ProgressState.Flowing);
  });

  it.each([100, 1_000, 1_900])(
    'is stalled when a byte comes each %i ms and no event',
    async (periodMs) => {
      progress.recordProgress();
      await trickle(periodMs, Math.ceil(stallTimeoutMs / periodMs));
      expect(progress.state).toBe(ProgressState.Stalled);
    },
  );

  it('is not stalled while events come, however slowly', async () => {
    for (let event = 0; event < 5; event++) {
      await trickle(1_000, 3);
      progress.recordProgress(true);
      expect(progress.state).toBe(ProgressState.Flowing);
    }
  });

  // A caller that read slowly made its endpoint look silent, and its stream was sent once more.
  it('is neither silent nor stalled while its caller takes no data', async () => {
    progress.recordProgress(true);
    progress.block();
    await clock.advance(2 * stallTimeoutMs);
    expect(progress.state).toBe(ProgressState.Flowing);
    expect(progress.ages.isBlocked).toBe(true);
    progress.unblock();
    expect(progress.state).toBe(ProgressState.Flowing);
    await clock.advance(1_200);
    expect(progress.state).toBe(ProgressState.Silent);
  });

  describe('the next check', () => {
    it('comes when silence would show', async () => {
      await clock.advance(300);
      progress.recordProgress();
      expect(progress.nextCheckAtMs).toBe(clock.nowMs() + 1_200);
    });

    it('comes when bytes without an event have come for too long', async () => {
      const eventAtMs = clock.nowMs();
      await trickle(500, 7);
      expect(progress.nextCheckAtMs).toBe(eventAtMs + stallTimeoutMs);
    });

    it('is never sooner than 200 ms, so that a long silence costs little', async () => {
      await clock.advance(10_000);
      expect(progress.nextCheckAtMs).toBe(clock.nowMs() + 200);
    });
  });
});
