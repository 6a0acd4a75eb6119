import { Outcome } from './outcome.js';

/** Component or processing step in which an error occurred. */
export enum Step {
  Settings = 'settings',
  Log = 'log',
  State = 'state',
  Membership = 'membership',
  Fleet = 'fleet',
  Authenticate = 'authenticate',
  Parse = 'parse',
  Classify = 'classify',
  Admit = 'admit',
  Claim = 'claim',
  Route = 'route',
  Dispatch = 'dispatch',
  Relay = 'relay',
  Account = 'account',
  Job = 'job',
  Capacity = 'capacity',
  Rpc = 'rpc',
  Security = 'security',
  Admin = 'admin',
  Command = 'command',
}

/** Options of {@link OrioleError}. */
export interface OrioleErrorOptions {
  /** Step in which the error occurred. */
  readonly step: Step;
  /** Other party: an address, endpoint, daemon, stream or file; `local` when there is none. */
  readonly peer: string;
  /** Underlying error, if any. */
  readonly cause?: unknown;
}

/**
 * Base class of all errors of the project. Messages say what went wrong and what to do.
 *
 * @example
 * ```ts
 * throw new OrioleError('stream "a.config" does not exist; create it with `oriolectl`', {
 *   step: Step.Log,
 *   peer: 'http://10.0.0.1:9000',
 * });
 * ```
 */
export class OrioleError extends Error {
  readonly step: Step;
  readonly peer: string;

  constructor(message: string, options: OrioleErrorOptions) {
    super(message, { cause: options.cause });
    this.name = new.target.name;
    this.step = options.step;
    this.peer = options.peer;
  }
}

/** Options of {@link RequestError}. */
export interface RequestErrorOptions extends OrioleErrorOptions {
  /** HTTP status of the response. */
  readonly status: number;
  /** Stable machine-readable code, such as `unknown_model`. */
  readonly code: string;
  /** What the caller should do next, in one sentence. */
  readonly next: string;
  readonly outcome: Outcome;
  /** Earliest time at which a retry can succeed, in epoch milliseconds. */
  readonly retryAtMs?: number;
}

/**
 * Error that ends a caller's request with an HTTP status, a code and an {@link Outcome}.
 *
 * @example
 * ```ts
 * throw new RequestError('model "x" is not served', {
 *   step: Step.Parse, peer: 'caller', status: 404, code: 'unknown_model',
 *   next: 'Choose a model from GET /v1/models.', outcome: Outcome.NotRun,
 * });
 * ```
 */
export class RequestError extends OrioleError {
  readonly status: number;
  readonly code: string;
  readonly next: string;
  readonly outcome: Outcome;
  readonly retryAtMs: number | undefined;

  constructor(message: string, options: RequestErrorOptions) {
    super(message, options);
    this.status = options.status;
    this.code = options.code;
    this.next = options.next;
    this.outcome = options.outcome;
    this.retryAtMs = options.retryAtMs;
  }
}
