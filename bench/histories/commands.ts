import fc from 'fast-check';
import { EntryKind, EntryPriority, ClaimStatus, ResolutionVerdict } from '../../src/state/index.js';
import { repeatCall, submitJob } from './actors.js';
import { Command, place, waitMs, type HistoryPart } from './command.js';
import { failureDomains, type World } from './world.js';

const domain = fc.constantFrom(...failureDomains);

const call = fc
  .record({ waitMs, key: fc.integer({ min: 1, max: 4 }), isOther: fc.integer({ min: 0, max: 9 }) })
  .map(({ waitMs: wait, key, isOther }) => {
    const body = isOther === 0 ? `other ${key}` : `order ${key}`;
    return new Command(`call(key-${key}, "${body}")`, wait, (world) => {
      world.spawn(() => repeatCall(world, `key-${key}`, body, 4));
    });
  });

const job = fc
  .record({
    waitMs,
    tokens: fc.integer({ min: 1, max: 60 }),
    cancelInMs: fc.oneof(
      { weight: 5, arbitrary: fc.constant(undefined) },
      { weight: 1, arbitrary: fc.integer({ min: 0, max: 6_000 }) },
    ),
  })
  .map(
    ({ waitMs: wait, tokens, cancelInMs }) =>
      new Command(`job(${tokens}, cancel ${cancelInMs ?? 'never'})`, wait, (world) => {
        world.spawn(() => submitJob(world, tokens, cancelInMs));
      }),
  );

const resolve = fc.record({ waitMs, place }).map(
  ({ waitMs: wait, place: at }) =>
    new Command(`resolve(${at})`, wait, (world) => {
      resolveUnknown(world, at);
    }),
);

/** Calls and jobs of callers, and operators who resolve unknown calls. */
export const callsAndJobs: HistoryPart = [call, call, job, job, resolve];

const pause = fc.record({ waitMs, place, pauseMs: fc.integer({ min: 200, max: 25_000 }) }).map(
  ({ waitMs: wait, place: at, pauseMs }) =>
    new Command(`pause(${at}, ${pauseMs})`, wait, (world) => {
      const { process } = world.daemon(at);
      world.fault(`entry-${at} paused for ${pauseMs} ms`);
      process.pause();
      world.clock.schedule(world.clock.nowMs() + pauseMs, () => {
        process.resume();
      });
    }),
);

const crash = fc.record({ waitMs, place, steps: fc.integer({ min: 0, max: 120 }) }).map(
  ({ waitMs: wait, place: at, steps }) =>
    new Command(`crash(${at}, after ${steps} steps)`, wait, (world) => {
      world.daemon(at).process.crashAfter(steps);
    }),
);

const stop = fc
  .record({
    waitMs,
    // Up to two thirds at the same time, some of them with the log down.
    places: fc.subarray([0, 1, 2], { minLength: 1, maxLength: 2 }),
    outageMs: fc.oneof(fc.constant(0), fc.integer({ min: 500, max: 20_000 })),
  })
  .map(
    ({ waitMs: wait, places, outageMs }) =>
      new Command(`stop(${places.join('+')}, log down ${outageMs})`, wait, (world) => {
        world.fault(`daemons ${places.join(', ')} stop, log down for ${outageMs} ms`);
        if (outageMs > 0) world.faults.startOutage(world.clock.nowMs() + outageMs);
        for (const at of places) world.spawn(() => world.daemon(at).stop());
      }),
  );

const outage = fc.record({ waitMs, outageMs: fc.integer({ min: 500, max: 20_000 }) }).map(
  ({ waitMs: wait, outageMs }) =>
    new Command(`outage(${outageMs})`, wait, (world) => {
      world.fault(`log down for ${outageMs} ms`);
      world.faults.startOutage(world.clock.nowMs() + outageMs);
    }),
);

const reclaim = fc
  .record({ waitMs, domain, noticeMs: fc.integer({ min: 1_000, max: 30_000 }) })
  .map(
    ({ waitMs: wait, domain: name, noticeMs }) =>
      new Command(`reclaim(${name}, ${noticeMs})`, wait, (world) => {
        world.announce(name, noticeMs);
      }),
  );

const loss = fc.record({ waitMs, domain }).map(
  ({ waitMs: wait, domain: name }) =>
    new Command(`lose(${name})`, wait, (world) => {
      world.fault(`${name} lost`);
      world.loseDomain(name, 0);
    }),
);

const silence = fc.record({ waitMs, index: fc.nat({ max: 20 }) }).map(
  ({ waitMs: wait, index }) =>
    new Command(`silence(${index})`, wait, (world) => {
      const busy = world.endpoints.filter(({ streams }) => streams.size > 0);
      const endpoint = busy[index % Math.max(1, busy.length)];
      if (!endpoint) return;
      world.fault(`${endpoint.options.id} goes silent`);
      endpoint.silence();
    }),
);

/** Faults of processes, log and endpoints. */
export const faults: HistoryPart = [pause, crash, stop, outage, reclaim, loss, silence];

/** An operator looks whether the oldest call without an answer ran and records what was found. */
function resolveUnknown(world: World, at: number): void {
  const daemon = world.daemon(at);
  const nowMs = world.clock.nowMs();
  // Also claims whose call may still start: the product must not take `not_run` for these.
  const claim = daemon.claims.claims().find(({ status }) => status !== ClaimStatus.Answered);
  if (!claim) return;
  const verdict = world.hasRun(claim.keyHash) ? ResolutionVerdict.Ran : ResolutionVerdict.NotRun;
  world.fault(`operator resolves ${claim.claimId} as ${verdict}`);
  const { claimId } = claim;
  const entry = {
    kind: EntryKind.Resolution,
    claimId,
    verdict,
    note: 'looked',
    operator: 'ana',
    resolvedAtMs: nowMs,
  };
  const options = { deadlineAtMs: nowMs + 3_000, priority: EntryPriority.High };
  void daemon.enter(() => daemon.claimWriter.append(entry, options)).catch(() => undefined);
}
