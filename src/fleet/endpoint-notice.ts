/** What an endpoint says of itself in a response, whatever the response is about. */
export interface EndpointNotice {
  /** Whether it is leaving, which is final for its process. */
  readonly isLeaving: boolean;
  /** Time for which it wants no request from this daemon, in milliseconds; undefined if it asks for none. */
  readonly pauseMs: number | undefined;
  /** Header lines that were not understood, for the log. */
  readonly unreadable: readonly string[];
}

/** The notice of a response that says nothing of its endpoint. */
export const noNotice: EndpointNotice = { isLeaving: false, pauseMs: undefined, unreadable: [] };

/** Seconds, with or without a fraction. */
const secondsPattern = /^\d{1,12}(\.\d{1,12})?$/;

/** Status of a refusal that may ask for a pause. */
const refusalStatus = 503;

/** Milliseconds of a `retry-after` in seconds; undefined for any other value, dates included. */
export function parseRetryAfterMs(text: string): number | undefined {
  const trimmed = text.trim();
  return secondsPattern.test(trimmed) ? Number(trimmed) * 1_000 : undefined;
}

/**
 * The notice of a response by its status and the standard header `retry-after` alone.
 *
 * @param retryAfter - value of the header; undefined when the response has none.
 */
export function noticeOfRetryAfter(status: number, retryAfter: string | undefined): EndpointNotice {
  if (status !== refusalStatus || retryAfter === undefined) return noNotice;
  const pauseMs = parseRetryAfterMs(retryAfter);
  const unreadable = pauseMs === undefined ? [`retry-after: ${retryAfter}`] : [];
  return { isLeaving: false, pauseMs, unreadable };
}
