import { describe, expect, it } from 'vitest';
import { Outcome, RequestError, Step } from '../../src/core/index.js';
import { runOnOwner } from '../../src/daemon/owner-fallback.js';
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

describe('runOnOwner', () => {
  describe('when the owner answers', () => {
    it('returns the answer and runs nothing locally', async () => {
      let localRuns = 0;
      const result = await runOnOwner(
        () => Promise.resolve('owner'),
        () => Promise.resolve(String(localRuns++)),
      );
      expect(result).toBe('owner');
      expect(localRuns).toBe(0);
    });

    it('rethrows its refusal with the outcome unchanged', async () => {
      const run = runOnOwner(
        () => Promise.reject(refusal(Outcome.NotRun)),
        () => Promise.resolve('here'),
      );
      await expect(run).rejects.toMatchObject({ outcome: Outcome.NotRun });
    });
  });

  describe('when the owner cannot be reached', () => {
    it('runs locally, and keeps the outcome not_run of a refusal', async () => {
      const connectionError = new RpcError('no connection', 'peer', false);
      const run = runOnOwner(
        () => Promise.reject(connectionError),
        () => Promise.reject(refusal(Outcome.NotRun)),
      );
      await expect(run).rejects.toMatchObject({ outcome: Outcome.NotRun });
    });
  });

  describe('when the answer of the owner was lost', () => {
    const answerLostError = new RpcError('no answer', 'peer', true);

    it('changes not_run of a local refusal to unknown, since the owner may have run the call', async () => {
      const run = runOnOwner(
        () => Promise.reject(answerLostError),
        () => Promise.reject(refusal(Outcome.NotRun)),
      );
      await expect(run).rejects.toMatchObject({ outcome: Outcome.Unknown, code: 'not_claimed' });
    });

    it('returns the recorded answer that it finds locally', async () => {
      const run = runOnOwner(
        () => Promise.reject(answerLostError),
        () => Promise.resolve('replayed'),
      );
      await expect(run).resolves.toBe('replayed');
    });
  });
});
