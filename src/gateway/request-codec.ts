import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import type { PromptPart } from '../fleet/prompt-prefix.js';

/** What a caller's headers say about a request. */
export interface RequestDescription {
  /** Chosen by the caller, new for each attempt of the caller. */
  readonly requestId: string;
  /** How long the caller waits, in milliseconds; undefined when it does not say. */
  readonly callerTimeoutMs: number | undefined;
  readonly callerKey: string | undefined;
  /** Undefined when the request has no token estimate. */
  readonly promptTokens: number | undefined;
  readonly maxOutputTokens: number;
  /** Parts of the prompt in order. */
  readonly promptParts: readonly PromptPart[];
  /** Event after which the caller wants a stream to continue. */
  readonly lastEventId: string | undefined;
}

/** What the daemon adds to a request for an endpoint. */
export interface ForwardingDetails {
  /** Undefined for public routes. */
  readonly workspaceName: string | undefined;
  /** Identity that must answer; another process at the address refuses the request. */
  readonly instanceId: string;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** 0 is the most urgent; undefined leaves the endpoint's default. */
  readonly priority: number | undefined;
  /** Event after which the stream continues; undefined for its start. */
  readonly lastEventId: string | undefined;
}

/** Load that an endpoint reports with an answer. */
export interface ReportedLoad {
  readonly runningRequests: number;
  readonly queuedRequests: number;
}

/** What the head of an endpoint's answer says. */
export interface ResponseDescription {
  /** Id of the request that the answer belongs to; undefined when it does not say. */
  readonly requestId: string | undefined;
  /** Whether the endpoint states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the answer carries the endpoint's signature. */
  readonly isSigned: boolean;
  readonly load: ReportedLoad | undefined;
}

/** Raised by {@link RequestCodec.describe} for a request without a usable id. */
export class MissingRequestIdError extends Error {}

/**
 * Translation between the headers of callers and endpoints and the gateway's own types.
 *
 * @example
 * ```ts
 * const { requestId, promptTokens } = codec.describe(request.headers);
 * ```
 */
export abstract class RequestCodec {
  /** @throws MissingRequestIdError when the request has no id. */
  abstract describe(headers: IncomingHttpHeaders): RequestDescription;

  /** Headers for the endpoint: the caller's, without those that are the system's to set. */
  abstract forwardedHeaders(
    headers: IncomingHttpHeaders,
    details: ForwardingDetails,
  ): OutgoingHttpHeaders;

  abstract describeResponse(status: number, headers: IncomingHttpHeaders): ResponseDescription;

  /** Headers for the caller from an endpoint's answer. */
  abstract responseHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders;

  /** Headers of an answer of the daemon's own. @param retryAfterMs - when to come back. */
  abstract ownResponseHeaders(
    requestId: string | undefined,
    retryAfterMs?: number,
  ): OutgoingHttpHeaders;
}
