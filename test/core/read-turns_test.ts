import { EventEmitter } from 'node:events';
import { describe, expect, it } from 'vitest';
import { ReadTurns, type ChunkSource, type ReadShare } from '../../src/core/read-turns.js';

/** Chunks that arrive with one read of a connection. */
const chunksPerRead = 10_000;

/** Reads of one connection that the event loop handles in a turn unless the connection is paused. */
const readsPerTurn = 32;

/** A connection on which chunks come without end. */
class EndlessConnection extends EventEmitter {
  readonly destroyed = false;
  share: ReadShare | undefined;
  chunks = 0;
  isReading = true;

  pause(): this {
    this.isReading = false;
    return this;
  }

  resume(): this {
    this.isReading = true;
    this.emit('resume');
    return this;
  }

  /** Reads like the event loop in one of its turns. */
  readTurn(): void {
    for (let reads = 0; reads < readsPerTurn && this.isReading; reads++) {
      for (let chunk = 0; chunk < chunksPerRead; chunk++) {
        this.chunks += 1;
        this.share?.count();
        // The parser of HTTP messages resumes the connection whenever a chunk was taken.
        this.emit('resume');
      }
    }
  }
}

/** Connections and the turns of an event loop that reads them. */
class Loop {
  readonly connections: EndlessConnection[];
  readonly turns: ReadTurns;
  readonly waits: string[] = [];
  readonly #afterTurn: (() => void)[] = [];

  constructor(connections: number) {
    this.turns = new ReadTurns({
      afterTurn: (action) => this.#afterTurn.push(action),
      onWait: ({ peer }) => this.waits.push(peer),
    });
    this.connections = Array.from({ length: connections }, () => {
      const connection = new EndlessConnection();
      connection.share = this.turns.share(connection as unknown as ChunkSource, () => '10.0.0.9');
      return connection;
    });
  }

  /** Plays a turn. @returns the chunks that were handled in it. */
  turn(): number {
    const before = this.chunks;
    for (const connection of this.connections) connection.readTurn();
    for (const action of this.#afterTurn.splice(0)) action();
    return this.chunks - before;
  }

  get chunks(): number {
    return this.connections.reduce((sum, { chunks }) => sum + chunks, 0);
  }
}

describe('ReadTurns', () => {
  describe('a crowd whose chunks come without end', () => {
    // Each connection was read up to 32 times in each turn, and nobody else was answered meanwhile.
    it.each([1, 15, 60])('of %d connections gets one read in a turn', (connections) => {
      const loop = new Loop(connections);
      expect(loop.turn()).toBe(connections * chunksPerRead);
      for (let turn = 0; turn < 200; turn++) expect(loop.turn()).toBeLessThanOrEqual(chunksPerRead);
    });

    it('goes on in order, so that each gets as much as the others', () => {
      const loop = new Loop(20);
      for (let turn = 0; turn < 201; turn++) loop.turn();
      const chunks = loop.connections.map((connection) => connection.chunks);
      expect(Math.max(...chunks) - Math.min(...chunks)).toBeLessThanOrEqual(chunksPerRead);
    });
  });

  it('does not keep a connection waiting whose message has ended', () => {
    const loop = new Loop(2);
    loop.turn();
    expect(loop.turns.waiting).toBeGreaterThan(0);
    for (const connection of loop.connections) connection.share?.end();
    expect(loop.turns.waiting).toBe(0);
    expect(loop.connections.every(({ isReading }) => isReading)).toBe(true);
    expect(loop.connections.every((one) => one.listenerCount('resume') === 0)).toBe(true);
  });

  it('never lets a connection wait that delivers few chunks in a turn', () => {
    const loop = new Loop(1);
    const [connection] = loop.connections;
    for (let turn = 0; turn < 1_000; turn++) {
      for (let chunk = 0; chunk < 100; chunk++) connection?.share?.count();
      connection?.pause();
      loop.turn();
    }
    expect(loop.waits).toEqual([]);
  });
});
