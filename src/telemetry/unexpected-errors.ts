import type { EventLog } from './event-log.js';
import { EventId } from './events.js';
import type { Metrics } from './metrics.js';

/** Options of {@link reportUnexpectedErrors}. */
export interface UnexpectedErrorsOptions {
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Whether the process serves requests, which an error elsewhere must not end. */
  readonly hasStarted: () => boolean;
  /** Ends the process; called for errors before it serves. */
  readonly exit: (code: number) => void;
}

/** Kinds of errors that no code has handled. */
export enum UnexpectedErrorKind {
  Exception = 'uncaughtException',
  Rejection = 'unhandledRejection',
}

/**
 * Returns the last resort for errors that no code has handled: they are logged and counted, and the
 * process goes on, as it holds the open requests of all its callers. Before it has started, it ends
 * instead.
 */
export function reportUnexpectedErrors(
  options: UnexpectedErrorsOptions,
): (kind: UnexpectedErrorKind, error: unknown) => void {
  const { events, metrics, hasStarted, exit } = options;
  return (kind, error) => {
    metrics.count('unexpected_errors', 1, { kind });
    const isError = error instanceof Error;
    events.error(EventId.UnexpectedError, 'error that no code has handled', {
      kind,
      reason: isError ? error.message : String(error),
      stack: isError ? (error.stack ?? '') : '',
    });
    if (!hasStarted()) exit(1);
  };
}

/** Handles the unexpected errors of this process by {@link reportUnexpectedErrors}. */
export function handleUnexpectedErrors(options: Omit<UnexpectedErrorsOptions, 'exit'>): void {
  const onError = reportUnexpectedErrors({ ...options, exit: (code) => process.exit(code) });
  for (const kind of Object.values(UnexpectedErrorKind)) {
    process.on(kind, (error: unknown) => {
      onError(kind, error);
    });
  }
}
