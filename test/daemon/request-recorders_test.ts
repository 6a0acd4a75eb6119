import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { describe, expect, it } from 'vitest';
import { Outcome, RequestError, Step, VirtualClock } from '../../src/core/index.js';
import { FailureRecorder } from '../../src/daemon/request-recorders.js';
import type { CallerRequest, RequestAttribution } from '../../src/pipeline/index.js';
import { BurnRecorder, Objective, objectivesOf } from '../../src/report/index.js';
import { Deployment } from '../../src/settings/index.js';
import { NullEventLog, NullMetrics } from '../../src/telemetry/index.js';

/** Refusals that the burn report counts after requests ended with these errors. */
async function countRefused(
  errors: readonly (readonly [number, Outcome])[],
  attribution: RequestAttribution,
): Promise<number | undefined> {
  const deployment = new Deployment();
  const burn = new BurnRecorder({
    clock: new VirtualClock(1_800_000_000_000),
    objectives: (serviceId) => objectivesOf(deployment, serviceId),
  });
  const recorder = new FailureRecorder(new NullEventLog(), new NullMetrics(), burn);
  const incoming = new IncomingMessage(new Socket());
  const request: CallerRequest = {
    requestId: 'r-1',
    request: incoming,
    response: new ServerResponse(incoming),
    receivedAtMs: 1_800_000_000_000,
    deployment,
    path: '/',
    attribution,
  };
  for (const [status, outcome] of errors) {
    recorder.failed(
      request,
      new RequestError('x', { step: Step.Relay, peer: 'p', status, code: 'c', next: 'n', outcome }),
    );
  }
  const { series } = await burn.snapshot();
  return series.find(({ objective }) => objective === Objective.Refusals)?.windows.fastShort.bad;
}

const attribution = { workspaceId: 'a/w', serviceId: 'a/s' };

describe('FailureRecorder', () => {
  it('counts requests that were refused or have an unknown outcome, as callers see both fail', async () => {
    const errors = [
      [502, Outcome.Unknown],
      [409, Outcome.Unknown],
      [503, Outcome.NotRun],
      [429, Outcome.NotRun],
    ] as const;
    expect(await countRefused(errors, attribution)).toBe(4);
  });

  it('does not count errors and disconnects of callers', async () => {
    const errors = [
      [400, Outcome.NotRun],
      [422, Outcome.NotRun],
      [499, Outcome.Unknown],
    ] as const;
    expect(await countRefused(errors, attribution)).toBeUndefined();
  });

  it('counts nothing for a request whose workspace or service is unknown', async () => {
    expect(await countRefused([[503, Outcome.NotRun]], { workspaceId: 'a/w' })).toBeUndefined();
  });
});
