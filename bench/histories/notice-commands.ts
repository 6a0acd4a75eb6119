import fc from 'fast-check';
import type { HistoryModel } from './command.js';
import { noticingServices } from './noticing-endpoints.js';
import { callRoutes, gatewayCount, type NoticeWorld } from './notice-world.js';

/** A step of a history of notices. */
export type NoticeCommand = fc.AsyncCommand<HistoryModel, NoticeWorld>;

/** A step given by a function; virtual time passes after it. */
class Step implements NoticeCommand {
  readonly #text: string;
  readonly #waitMs: number;
  readonly #action: (world: NoticeWorld) => void;

  constructor(text: string, waitMs: number, action: (world: NoticeWorld) => void) {
    this.#text = text;
    this.#waitMs = waitMs;
    this.#action = action;
  }

  check(): boolean {
    return true;
  }

  async run(_model: HistoryModel, world: NoticeWorld): Promise<void> {
    this.#action(world);
    await world.clock.advance(this.#waitMs);
  }

  toString(): string {
    return `${this.#text} then ${this.#waitMs} ms`;
  }
}

const waitMs = fc.integer({ min: 0, max: 1_500 });
const endpoint = fc.integer({ min: 0, max: 4 });
const gateway = fc.integer({ min: 0, max: gatewayCount - 1 });
const service = fc.constantFrom(...noticingServices);
const callSpreadMs = 4_000;

const calls = fc.record({ waitMs, service, count: fc.integer({ min: 5, max: 30 }) }).map(
  ({ waitMs: wait, service: name, count }) =>
    new Step(`calls(${name}, ${count})`, wait, (world) => {
      for (let index = 0; index < count; index++) world.spawn(() => callOnce(world, name));
    }),
);

const leave = fc.record({ waitMs, endpoint, endInMs: fc.integer({ min: 500, max: 9_000 }) }).map(
  ({ waitMs: wait, endpoint: at, endInMs }) =>
    new Step(`leave(${at}, ends in ${endInMs})`, wait, (world) => {
      const process = world.endpoints.processes[at]!;
      world.fault(`${process.instanceId} leaves by its responses alone`);
      process.isLeaving = true;
      world.clock.schedule(world.clock.nowMs() + endInMs, () => {
        process.isRunning = false;
      });
    }),
);

const restart = fc
  .record({ waitMs, endpoint, keepsId: fc.boolean(), keepsAddress: fc.boolean() })
  .map(
    ({ waitMs: wait, endpoint: at, keepsId, keepsAddress }) =>
      new Step(`restart(${at}, id ${keepsId}, address ${keepsAddress})`, wait, (world) => {
        world.fault(`endpoint ${at} restarts`);
        world.restart(at, keepsId, keepsAddress);
      }),
  );

const pauseMs = fc.integer({ min: 200, max: 6_000 });

const pauseOne = fc.record({ waitMs, endpoint, pauseMs }).map(
  ({ waitMs: wait, endpoint: at, pauseMs: durationMs }) =>
    new Step(`pause(${at}, ${durationMs})`, wait, (world) => {
      world.fault(`endpoint ${at} wants no requests for ${durationMs} ms`);
      pause(world, at, durationMs);
    }),
);

const pauseAll = fc.record({ waitMs, service, pauseMs }).map(
  ({ waitMs: wait, service: name, pauseMs: durationMs }) =>
    new Step(`pauseAll(${name}, ${durationMs})`, wait, (world) => {
      world.fault(`all of ${name} want no requests for about ${durationMs} ms`);
      world.endpoints.processes.forEach((process, at) => {
        if (process.service !== name) return;
        pause(world, at, durationMs + world.random.int(0, 800));
      });
    }),
);

const freeze = fc.record({ waitMs, gateway, freezeMs: fc.integer({ min: 200, max: 6_000 }) }).map(
  ({ waitMs: wait, gateway: at, freezeMs }) =>
    new Step(`freeze(${at}, ${freezeMs})`, wait, (world) => {
      const { process } = world.gateway(at);
      world.fault(`entry-${at} stands still for ${freezeMs} ms`);
      process.pause();
      world.clock.schedule(world.clock.nowMs() + freezeMs, () => {
        process.resume();
      });
    }),
);

const crash = fc.record({ waitMs, gateway }).map(
  ({ waitMs: wait, gateway: at }) =>
    new Step(`crash(${at})`, wait, (world) => {
      world.gateway(at).process.crash();
    }),
);

const cut = fc.record({ waitMs, gateway, cutMs: fc.integer({ min: 200, max: 5_000 }) }).map(
  ({ waitMs: wait, gateway: at, cutMs }) =>
    new Step(`cut(${at}, ${cutMs})`, wait, (world) => {
      world.fault(`entry-${at} is cut off from the endpoints for ${cutMs} ms`);
      world.cut(at, world.clock.nowMs() + cutMs);
    }),
);

/** Calls, endpoints that leave, pause and start again, and daemons that fail meanwhile. */
export const noticeCommands: readonly fc.Arbitrary<NoticeCommand>[] = [
  calls,
  calls,
  calls,
  calls,
  leave,
  restart,
  pauseOne,
  pauseOne,
  pauseAll,
  freeze,
  crash,
  cut,
];

async function callOnce(world: NoticeWorld, name: string): Promise<void> {
  const { random, clock } = world;
  await clock.sleepUntil(clock.nowMs() + random.int(0, callSpreadMs));
  const leaveInMs = random.float() < 0.1 ? random.int(1, 300) : undefined;
  const route = random.pick(callRoutes);
  await world.call(random.int(0, gatewayCount - 1), name, route, random.int(500, 6_000), leaveInMs);
}

function pause(world: NoticeWorld, at: number, durationMs: number): void {
  const process = world.endpoints.processes[at]!;
  const untilMs = world.clock.nowMs() + durationMs;
  process.refusesUntilMs = Math.max(process.refusesUntilMs, untilMs);
}
