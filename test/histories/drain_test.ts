import { describe, expect, it } from 'vitest';
import { runChat } from '../../bench/histories/chat-commands.js';
import { checkers } from '../../bench/histories/checkers/index.js';
import { HistoryKind, eventsOf } from '../../bench/histories/history.js';
import { World } from '../../bench/histories/world.js';

const daemonCount = 4;
const graceMs = 3_000;

describe('history of a drain', () => {
  it('keeps it over the replacement of all daemons, against one that only they remember', async () => {
    const world = new World(1, { settings: false, chats: true });
    await world.start();
    expect(world.daemons.map(({ fleet }) => fleet!.isReady)).not.toContain(false);
    const name = world.chatEndpoints!.places[0]!.name;
    world.daemon(0).fleet!.drain(name, world.clock.nowMs() + 20_000);
    await world.clock.advance(1_500);
    for (let place = 0; place < daemonCount; place++) world.daemon(place).process.crashAfter(0);
    await world.clock.advance(20_000);
    for (let index = 0; index < 40; index++) world.spawn(() => runChat(world, 5));
    await world.finish();
    const { events } = world.history;
    expect(eventsOf(events, HistoryKind.DaemonCrashed)).toHaveLength(daemonCount);
    const [leaving] = eventsOf(events, HistoryKind.EndpointLeaving);
    const assigned = eventsOf(events, HistoryKind.WorkAssigned).filter(
      ({ endpointId, atMs }) =>
        endpointId === leaving!.endpointId && atMs > leaving!.atMs + graceMs,
    );
    // Stricter than P5's checker, which leaves out the time in which no daemon that knows runs.
    expect(assigned).toEqual([]);
    expect(checkers.flatMap((check) => check(events))).toEqual([]);
  });
});
