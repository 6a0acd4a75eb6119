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
