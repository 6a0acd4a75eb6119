import fc from 'fast-check';
import type { World } from './world.js';

/** Histories keep no model of their own: the checkers judge what was observed. */
export type HistoryModel = Record<string, never>;

/** A step of a history; it starts something and lets virtual time pass. */
export type HistoryCommand = fc.AsyncCommand<HistoryModel, World>;

/** A step given by a function. */
export class Command implements HistoryCommand {
  readonly #text: string;
  readonly #waitMs: number;
  readonly #action: (world: World) => void;

  constructor(text: string, waitMs: number, action: (world: World) => void) {
    this.#text = text;
    this.#waitMs = waitMs;
    this.#action = action;
  }

  check(): boolean {
    return true;
  }

  async run(_model: HistoryModel, world: World): Promise<void> {
    this.#action(world);
    await world.clock.advance(this.#waitMs);
  }

  toString(): string {
    return `${this.#text} then ${this.#waitMs} ms`;
  }
}

/** Commands of one part of the system. */
export type HistoryPart = readonly fc.Arbitrary<HistoryCommand>[];

export const waitMs = fc.integer({ min: 0, max: 2_500 });
export const place = fc.integer({ min: 0, max: 3 });
