import { BackEndCallError, BackEndCaller } from '../../src/calls/index.js';
import type { BackEndAnswer, BackEndCallOptions, BackEndRequest } from '../../src/calls/index.js';
import type { Clock, Random } from '../../src/core/index.js';
import { HistoryKind, type HistoryRecorder } from './history.js';
import type { SimulatedProcess } from './process.js';

/** Header by which the plain service knows the call; the product passes it through. */
export const callIdHeader = 'x-call-id';
export const keyHeader = 'x-key';

/** Answer that belongs to a request. */
export function expectedBody(body: string): string {
  return `done: ${body}`;
}

/** A plain service whose calls must not be repeated, over faulty connections of one process. */
export class FakeBackEnd extends BackEndCaller {
  readonly #clock: Clock;
  readonly #process: SimulatedProcess;
  readonly #random: Random;
  readonly #history: HistoryRecorder;

  constructor(clock: Clock, process: SimulatedProcess, random: Random, history: HistoryRecorder) {
    super();
    this.#clock = clock;
    this.#process = process;
    this.#random = random;
    this.#history = history;
  }

  override async call(
    request: BackEndRequest,
    options: BackEndCallOptions,
  ): Promise<BackEndAnswer> {
    const random = this.#random;
    const isSlowConnect = random.float() < 0.1;
    await this.#process.deliver(this.#sleep(isSlowConnect ? random.int(1_000, 8_000) : 2));
    if (random.float() < 0.15) throw new BackEndCallError('connection refused', 'service');
    if (!options.tryStart()) throw new BackEndCallError('start not allowed', 'service');
    this.#history.record({
      kind: HistoryKind.WorkRan,
      workId: request.headers[callIdHeader] ?? '',
      key: request.headers[keyHeader] ?? '',
    });
    return this.#process.deliver(this.#answer(request));
  }

  async #answer(request: BackEndRequest): Promise<BackEndAnswer> {
    const random = this.#random;
    await this.#sleep(random.int(5, random.float() < 0.1 ? 6_000 : 300));
    const draw = random.float();
    if (draw < 0.1) throw new BackEndCallError('connection reset', 'service');
    if (draw < 0.15) return new Promise(() => undefined);
    const body = Buffer.from(expectedBody(Buffer.from(request.body).toString()));
    return { status: 200, headers: {}, body };
  }

  #sleep(ms: number): Promise<void> {
    return this.#clock.sleepUntil(this.#clock.nowMs() + ms);
  }
}
