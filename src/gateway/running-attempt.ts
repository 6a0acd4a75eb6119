import type { Clock } from '../core/index.js';
import type { EndpointView, RoutedRequest } from '../fleet/index.js';
import { AttemptObserver, type Attempt, type AttemptResult } from './attempt.js';
import type { ResponseDescription } from './request-codec.js';

/** Receives what is observed of an attempt, with the attempt itself. */
export abstract class RunningAttemptObserver {
  /** The response head was received. */
  abstract responded(running: RunningAttempt, response: ResponseDescription): void;
  /** The request has started to run. */
  abstract began(): void;
  /** The first events of a stream were received; called once. */
  abstract firstEvents(running: RunningAttempt, events: number): void;
  /**
   * More events of a stream were received.
   *
   * @param elapsedMs - milliseconds since the events before.
   */
  abstract progressed(running: RunningAttempt, events: number, elapsedMs: number): void;
  /** Nothing listens at the endpoint's address. */
  abstract refused(running: RunningAttempt): void;
  /** The endpoint sends nothing and does not respond to a probe; the attempt goes on. */
  abstract silent(running: RunningAttempt): void;
  /**
   * Asked before data is forwarded.
   *
   * @param hasContent - whether it is more than comments of a stream.
   */
  abstract mayForward(running: RunningAttempt, hasContent: boolean): boolean;
  /** Asked before an error response is forwarded that is too large to be kept until its end. */
  abstract mayForwardError(running: RunningAttempt, status: number): boolean;
}

/** Options of {@link RunningAttempt}. */
export interface RunningAttemptOptions {
  readonly view: EndpointView;
  readonly observer: RunningAttemptObserver;
  /** Its place in the endpoint's load. */
  readonly inFlightRequest: RoutedRequest;
  /** Ends the probe that the attempt may be for an endpoint after a pause. */
  readonly endProbe: () => void;
  readonly clock: Clock;
}

/** One attempt of a request, and the times of its events. */
export class RunningAttempt extends AttemptObserver {
  readonly view: EndpointView;
  /** Epoch milliseconds. */
  readonly sentAtMs: number;
  readonly #options: RunningAttemptOptions;
  #attempt: Attempt | undefined;
  #firstEventAtMs: number | undefined;
  #lastEventAtMs: number | undefined;
  #isSilent = false;

  constructor(options: RunningAttemptOptions) {
    super();
    this.#options = options;
    this.view = options.view;
    this.sentAtMs = options.clock.nowMs();
  }

  /** Time of its first event, in epoch milliseconds; undefined before. */
  get firstEventAtMs(): number | undefined {
    return this.#firstEventAtMs;
  }

  /** Time of its last event, in epoch milliseconds; undefined before the first. */
  get lastEventAtMs(): number | undefined {
    return this.#lastEventAtMs;
  }

  /** Whether its endpoint was found silent, and has sent nothing since. */
  get isSilent(): boolean {
    return this.#isSilent;
  }

  /** Whether the endpoint may have run the request. */
  get mayHaveRun(): boolean {
    return this.#attempt?.mayHaveRun === true;
  }

  /** Time at which the request was written to the endpoint, in epoch milliseconds. */
  get writtenAtMs(): number | undefined {
    return this.#attempt?.writtenAtMs;
  }

  /** Runs the attempt that `create` starts, and records its end in the endpoint's load. */
  async run(create: (observer: AttemptObserver) => Attempt): Promise<AttemptResult> {
    const { inFlightRequest, endProbe } = this.#options;
    try {
      this.#attempt = create(this);
      return await this.#attempt.result;
    } finally {
      endProbe();
      inFlightRequest.end();
    }
  }

  /** Ends the attempt; nothing is held against its endpoint. */
  abort(reason: string): void {
    this.#attempt?.abort(reason);
  }

  /** Ends the attempt as broken, as another endpoint went on with the request. */
  giveUp(): void {
    this.#attempt?.giveUp('endpoint sent no data, and another one went on with the request');
  }

  override responded(response: ResponseDescription): void {
    this.#isSilent = false;
    this.#options.observer.responded(this, response);
  }

  override refused(): void {
    this.#options.observer.refused(this);
  }

  override silent(): void {
    this.#isSilent = true;
    this.#options.observer.silent(this);
  }

  override mayForward(hasContent: boolean): boolean {
    return this.#options.observer.mayForward(this, hasContent);
  }

  override mayForwardError(status: number): boolean {
    return this.#options.observer.mayForwardError(this, status);
  }

  override began(): void {
    this.#options.observer.began();
  }

  override progressed(events: number, elapsedMs: number): void {
    const { observer, clock } = this.#options;
    this.#isSilent = false;
    const isFirst = this.#firstEventAtMs === undefined;
    this.#lastEventAtMs = clock.nowMs();
    this.#firstEventAtMs ??= this.#lastEventAtMs;
    if (isFirst) observer.firstEvents(this, events);
    else observer.progressed(this, events, elapsedMs);
  }
}
