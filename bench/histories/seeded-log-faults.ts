import type { Clock, Random } from '../../src/core/index.js';
import { LogFault, LogFaultSource, type LogReadFate } from '../../src/standins/index.js';

/** Share of appends with a fault outside outages. */
const appendFaults: readonly (readonly [number, LogFault])[] = [
  [0.05, LogFault.Refused],
  [0.1, LogFault.RequestLost],
  [0.18, LogFault.AnswerLost],
  [0.25, LogFault.Duplicated],
];

/** Faults of the log service drawn from a seed, with outages set by commands. */
export class SeededLogFaults extends LogFaultSource {
  readonly #clock: Clock;
  readonly #random: Random;
  #outageUntilMs = 0;
  #isHealed = false;

  constructor(clock: Clock, random: Random) {
    super();
    this.#clock = clock;
    this.#random = random;
  }

  startOutage(untilMs: number): void {
    this.#outageUntilMs = Math.max(this.#outageUntilMs, untilMs);
  }

  /** Ends all faults, so that the history can come to its end. */
  heal(): void {
    this.#isHealed = true;
    this.#outageUntilMs = 0;
  }

  override onAppend(): { fault: LogFault; delayMs: number } {
    const random = this.#random;
    if (this.isOut) {
      // In an outage most requests are lost, and a few take effect unseen.
      const fault = random.float() < 0.1 ? LogFault.AnswerLost : LogFault.RequestLost;
      return { fault, delayMs: random.int(100, 2_000) };
    }
    if (this.#isHealed) return { fault: LogFault.None, delayMs: 2 };
    const draw = random.float();
    const fault = appendFaults.find(([limit]) => draw < limit)?.[1] ?? LogFault.None;
    // A slow append is overtaken by later ones.
    const delayMs = random.float() < 0.1 ? random.int(200, 4_000) : random.int(1, 20);
    return { fault, delayMs };
  }

  /** True while every call is lost. */
  get isOut(): boolean {
    return this.#clock.nowMs() < this.#outageUntilMs;
  }

  override onRead(): LogReadFate {
    const random = this.#random;
    if (this.isOut) return { fault: LogFault.RequestLost, delayMs: random.int(100, 500) };
    if (this.#isHealed) return { fault: LogFault.None, delayMs: 2 };
    const fault = random.float() < 0.02 ? LogFault.RequestLost : LogFault.None;
    const lagRecords = random.float() < 0.1 ? random.int(1, 4) : 0;
    return { fault, delayMs: random.int(1, 20), lagRecords };
  }
}
