import { Clock } from '../../src/core/index.js';
import {
  LogService,
  type NewRecord,
  type Offset,
  type ReadOptions,
  type ReadPage,
} from '../../src/log/index.js';

/**
 * A simulated process: nothing runs in it while it is paused, and nothing ever again once it has
 * crashed. Timers and answers that fall due during a pause are delivered, in order, at its end.
 */
export class SimulatedProcess extends Clock {
  readonly #base: Clock;
  #waiting: (() => void)[] = [];
  #isPaused = false;
  #isCrashed = false;
  #stepsToCrash = Infinity;
  /** Reads of the log that will get no answer, as on a connection that has gone silent. */
  silentReads = 0;
  /** Called once, outside the process, when it has crashed. */
  onCrash: () => void = () => undefined;
  /** Called once, outside the process, when it has ended on purpose. */
  onExit: () => void = () => undefined;

  constructor(base: Clock) {
    super();
    this.#base = base;
  }

  /** True once the process has crashed or ended. */
  get isCrashed(): boolean {
    return this.#isCrashed;
  }

  get isPaused(): boolean {
    return this.#isPaused;
  }

  override nowMs(): number {
    return this.#base.nowMs();
  }

  override schedule(atMs: number, action: () => void): () => void {
    let isCancelled = false;
    const cancel = this.#base.schedule(atMs, () => {
      this.#enter(() => {
        if (!isCancelled) action();
      });
    });
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  /** Delivers an outcome of the outside world to the process. */
  async deliver<T>(outcome: Promise<T>): Promise<T> {
    const settled = await outcome.then(
      (value) => ({ value }),
      (error: unknown) => ({ error }),
    );
    await new Promise<void>((resolve) => this.#enter(resolve));
    if ('error' in settled) throw settled.error;
    return settled.value;
  }

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    this.#isPaused = false;
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const action of waiting) this.#enter(action);
  }

  /** Crashes the process instead of its `steps`-th next timer or delivery. */
  crashAfter(steps: number): void {
    this.#stepsToCrash = steps;
  }

  crash(): void {
    if (this.#end()) this.onCrash();
  }

  /** Ends the process on purpose. */
  exit(): void {
    if (this.#end()) this.onExit();
  }

  #end(): boolean {
    if (this.#isCrashed) return false;
    this.#isCrashed = true;
    this.#waiting = [];
    return true;
  }

  #enter(action: () => void): void {
    if (this.#isCrashed) return;
    if (this.#isPaused) this.#waiting.push(action);
    else if (--this.#stepsToCrash < 0) this.crash();
    else action();
  }
}

/** The log service as one process sees it. */
export class ProcessLogService extends LogService {
  readonly #inner: LogService;
  readonly #process: SimulatedProcess;

  constructor(inner: LogService, process: SimulatedProcess) {
    super();
    this.#inner = inner;
    this.#process = process;
  }

  override append(stream: string, record: NewRecord): Promise<{ readonly offset: Offset }> {
    return this.#run(() => this.#inner.append(stream, record));
  }

  override read(stream: string, fromOffset: Offset, options: ReadOptions): Promise<ReadPage> {
    if (this.#process.silentReads > 0) {
      this.#process.silentReads -= 1;
      return new Promise(() => undefined);
    }
    return this.#run(() => this.#inner.read(stream, fromOffset, options));
  }

  /** Continuations of promises settled before a crash still run; they must have no effect. */
  #run<T>(call: () => Promise<T>): Promise<T> {
    return this.#process.isCrashed ? new Promise(() => undefined) : this.#process.deliver(call());
  }
}
