import { describe, expect, it } from 'vitest';
import { Outcome, RequestError, Step } from '../../src/core/index.js';
import { runAtHome } from '../../src/daemon/home-fallback.js';
import { RpcError } from '../../src/rpc/index.js';

function refusal(outcome: Outcome): RequestError {
  return new RequestError('refused', {
    step: Step.Claim,
    peer: 'local',
    status: 503,
    code: 'not_claimed',
    next: 'Repeat it.',
    outcome,
  });
}

describe('runAtHome', () => {
  describe('when the home answers', () => {
    it('returns the answer and runs nothing here', async () => {
      let runsHere = 0;
      const result = await runAtHome(
        () => Promise.resolve('home'),
        () => Promise.resolve(String(runsHere++)),
      );
      expect(result).toBe('home');
      expect(runsHere).toBe(0);
    });

    it('passes on its refusal with the outcome as it is', async () => {
      const run = runAtHome(
        () => Promise.reject(refusal(Outcome.NotRun)),
        () => Promise.resolve('here'),
      );
      await expect(run).rejects.toMatchObject({ outcome: Outcome.NotRun });
    });
  });

  describe('when the home cannot be reached', () => {
    it('runs here, and a refusal still proves that nothing ran', async () => {
      const unreached = new RpcError('no connection', 'peer', false);
      const run = runAtHome(
        () => Promise.reject(unreached),
        () => Promise.reject(refusal(Outcome.NotRun)),
      );
      await expect(run).rejects.toMatchObject({ outcome: Outcome.NotRun });
    });
  });

  describe('when the answer of the home was lost', () => {
    const lost = new RpcError('no answer', 'peer', true);

    it('does not say not_run for a refusal here, since the home may have run the call', async () => {
      const run = runAtHome(
        () => Promise.reject(lost),
        () => Promise.reject(refusal(Outcome.NotRun)),
      );
      await expect(run).rejects.toMatchObject({ outcome: Outcome.Unknown, code: 'not_claimed' });
    });

    it('returns the recorded answer that it finds here', async () => {
      const run = runAtHome(
        () => Promise.reject(lost),
        () => Promise.resolve('replayed'),
      );
      await expect(run).resolves.toBe('replayed');
    });
  });
});
