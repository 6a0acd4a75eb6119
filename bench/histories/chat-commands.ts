import fc from 'fast-check';
import { Outcome, RequestError } from '../../src/core/index.js';
import { ChatResponder } from '../../src/pipeline/index.js';
import { Command, place, waitMs, type HistoryPart } from './command.js';
import { expectedText } from './fake-engine.js';
import { HistoryKind } from './history.js';
import { regions, type EnginePlace } from './simulated-endpoints.js';
import type { World } from './world.js';

/** A caller gives up a connection that has shown nothing for this long in all. */
const chatTimeoutMs = 60_000;
const chatSpreadMs = 8_000;
const region = fc.constantFrom(...regions);
const engine = fc.integer({ min: 0, max: 5 });

const chat = fc
  .record({
    waitMs: fc.integer({ min: 0, max: 800 }),
    tokens: fc.integer({ min: 1, max: 30 }),
    count: fc.integer({ min: 2, max: 8 }),
  })
  .map(
    ({ waitMs: wait, tokens, count }) =>
      new Command(`chats(${count}, ${tokens})`, wait, (world) => {
        for (let index = 0; index < count; index++) {
          // Spread out, so that some arrive at any time after a signal.
          world.spawn(async () => {
            await world.sleep(world.random.int(0, chatSpreadMs));
            await runChat(world, tokens);
          });
        }
      }),
  );

const reclaim = fc
  .record({
    waitMs,
    region,
    noticeMs: fc.integer({ min: 1_000, max: 30_000 }),
    isNewVm: fc.boolean(),
  })
  .map(
    ({ waitMs: wait, region: name, noticeMs, isNewVm }) =>
      new Command(`reclaimEngines(${name}, ${noticeMs}, new VM ${isNewVm})`, wait, (world) => {
        reclaimEngines(world, name, noticeMs, isNewVm);
      }),
  );

const leaveAlone = fc.record({ waitMs, engine }).map(
  ({ waitMs: wait, engine: at }) =>
    new Command(`engineDrains(${at})`, wait, (world) => {
      const { run, name } = engineAt(world, at);
      world.fault(`${name} drains by itself`);
      run.isDraining = true;
    }),
);

const drain = fc.record({ waitMs, engine, place }).map(
  ({ waitMs: wait, engine: at, place: daemon }) =>
    new Command(`drain(${at}, at entry-${daemon})`, wait, (world) => {
      const { name } = engineAt(world, at);
      const { fleet, process } = world.daemon(daemon);
      if (fleet?.isReady !== true || process.isCrashed || process.isPaused) return;
      world.fault(`an operator drains ${name}`);
      fleet.drain(name, world.clock.nowMs() + 20_000);
    }),
);

const restart = fc.record({ waitMs, engine, isNewVm: fc.boolean() }).map(
  ({ waitMs: wait, engine: at, isNewVm }) =>
    new Command(`restartEngine(${at}, new VM ${isNewVm})`, wait, (world) => {
      world.fault(`${engineAt(world, at).name} restarts`);
      replace(world, engineAt(world, at), isNewVm);
    }),
);

const cut = fc.record({ waitMs, cutMs: fc.integer({ min: 300, max: 20_000 }) }).map(
  ({ waitMs: wait, cutMs }) =>
    new Command(`cut(${cutMs})`, wait, (world) => {
      world.fault(`regions cut for ${cutMs} ms`);
      world.chatEndpoints?.cut(world.clock.nowMs() + cutMs);
    }),
);

/** Relayed chats, engines that leave in each way, and the link between regions. */
export const chats: HistoryPart = [
  chat,
  chat,
  chat,
  chat,
  reclaim,
  leaveAlone,
  drain,
  restart,
  cut,
];

class CollectingResponder extends ChatResponder {
  text = '';
  hasEnded = false;

  override writeToken(text: string): undefined {
    this.text += text;
  }

  override writeKeepAlive(): void {
    // The caller of a history does not mind waiting.
  }

  override end(): void {
    this.hasEnded = true;
  }
}

export async function runChat(world: World, tokens: number): Promise<void> {
  const { history, random } = world;
  const ready = world.daemons.filter(({ fleet, takesRequests }) => fleet?.isReady && takesRequests);
  if (ready.length === 0) return;
  const daemon = random.pick(ready);
  const callId = world.newCallId();
  const expectedBody = expectedText(callId, tokens);
  history.record({ kind: HistoryKind.CallStarted, callId, key: '', expectedBody });
  const responder = new CollectingResponder();
  const connection = new AbortController();
  const timeout = world.sleep(chatTimeoutMs).then(() => Outcome.Unknown);
  const outcome = await Promise.race([
    daemon
      .enter(async () => daemon.fleet?.chat(callId, tokens, responder, connection.signal))
      .then(
        () => (responder.hasEnded ? undefined : Outcome.Unknown),
        (error: unknown) => {
          if (error instanceof RequestError) return error.outcome;
          throw error;
        },
      ),
    // The connection to a daemon that crashed breaks.
    timeout,
  ]);
  history.record({ kind: HistoryKind.CallEnded, callId, outcome, body: responder.text });
}

function reclaimEngines(world: World, name: string, noticeMs: number, isNewVm: boolean): void {
  const { clock, random } = world;
  const nowMs = clock.nowMs();
  const atMs = nowMs + noticeMs;
  const places = world.chatEndpoints!.places.filter((candidate) => candidate.region === name);
  const runs = places.map(({ run }) => run);
  world.history.record({
    kind: HistoryKind.ReclaimAnnounced,
    endpointIds: runs.map(({ vmId }) => vmId),
  });
  for (const run of runs) run.leaving ??= { sinceMs: nowMs, atMs };
  const vmIds = runs.map(({ vmId }) => vmId);
  for (const { fleet, process, region: own } of world.daemons) {
    if (own !== name) continue;
    // Now and then the connection to the cloud is silent, and the poll is repeated after 10 s.
    const delayMs = random.float() < 0.1 ? 10_000 : random.int(1, 300);
    void process.deliver(world.sleep(delayMs)).then(() => {
      fleet?.notice(vmIds, atMs);
    });
  }
  clock.schedule(atMs, () => {
    for (const run of runs) run.isLost = true;
  });
  clock.schedule(atMs + random.int(500, 10_000), () => {
    places.forEach((candidate, index) => {
      if (candidate.run === runs[index]) replace(world, candidate, isNewVm);
    });
  });
}

/** Starts another engine at an address; the daemons read of a new VM in the settings. */
function replace(world: World, engineSite: EnginePlace, isNewVm: boolean): void {
  world.chatEndpoints?.replace(engineSite, isNewVm);
  if (!isNewVm) return;
  for (const { fleet, process } of world.daemons) {
    void process.deliver(world.sleep(world.random.int(1, 2_000))).then(() => {
      fleet?.applyDeployment();
    });
  }
}

function engineAt(world: World, at: number): EnginePlace {
  return world.chatEndpoints!.places[at]!;
}
