import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import type { EndpointNotice } from '../fleet/endpoint-notice.js';
import type { PromptPart } from '../fleet/prompt-prefix.js';

/**
 * Most tokens that a request may state, well above the context of any model. The numbers of a request
 * enter sums over all requests, which one without a bound would spoil.
 */
export const maxRequestTokens = 16_777_216;

/**
 * A caller's request as described by its headers. Each number of tokens is between 0 and
 * {@link maxRequestTokens}, or just above it if a larger one is stated.
 */
export interface RequestDescription {
  /** Chosen by the caller; unique for each of its attempts. */
  readonly requestId: string;
  /** How long the caller waits, in milliseconds; undefined when not stated. */
  readonly callerTimeoutMs: number | undefined;
  /** API key; undefined when the request has none. */
  readonly callerKey: string | undefined;
  /** Estimated prompt tokens; undefined when the request has no estimate. */
  readonly promptTokens: number | undefined;
  readonly maxOutputTokens: number;
  /** Output tokens that the caller expects; undefined when not stated. */
  readonly lengthHintTokens?: number | undefined;
  /** Parts of the prompt in order. */
  readonly promptParts: readonly PromptPart[];
  /** Whether it states more than {@link maxRequestTokens}, for which no endpoint has room. */
  readonly isOversized?: boolean;
  /** Id of the event after which the caller wants a stream to resume. */
  readonly lastEventId: string | undefined;
}

/** What the daemon adds to the headers of a request for an endpoint. */
export interface ForwardingDetails {
  /** Undefined for public routes. */
  readonly workspaceName: string | undefined;
  /** Instance that must serve the request; another process at the address refuses it. */
  readonly instanceId: string;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** 0 is the most urgent; undefined for the endpoint's default. */
  readonly priority: number | undefined;
  /** Id of the event after which the stream resumes; undefined to start from the beginning. */
  readonly lastEventId: string | undefined;
}

/** Load that an endpoint reports with a response. */
export interface ReportedLoad {
  readonly runningRequests: number;
  readonly queuedRequests: number;
  /** Service time in percent of the usual; undefined when not stated. */
  readonly serviceTimePercent?: number | undefined;
}

/** An endpoint's response as described by its head. */
export interface ResponseDescription {
  /** Id of the request that the response belongs to; undefined when not stated. */
  readonly requestId: string | undefined;
  /** Whether the endpoint states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the response carries the endpoint's signature. */
  readonly isSigned: boolean;
  readonly load: ReportedLoad | undefined;
  readonly notice: EndpointNotice;
}

/** Thrown by {@link RequestCodec.describe} for a request without a usable id. */
export class MissingRequestIdError extends Error {}

/**
 * Translates between the headers of callers and endpoints and the gateway's types.
 *
 * @example
 * ```ts
 * const { requestId, promptTokens } = codec.describe(request.headers);
 * ```
 */
export abstract class RequestCodec {
  /** @throws MissingRequestIdError when the request has no id. */
  abstract describe(headers: IncomingHttpHeaders): RequestDescription;

  /**
   * Headers for the endpoint: the caller's, except those that callers must not set, with `details`
   * added.
   */
  abstract forwardedHeaders(
    headers: IncomingHttpHeaders,
    details: ForwardingDetails,
  ): OutgoingHttpHeaders;

  abstract describeResponse(status: number, headers: IncomingHttpHeaders): ResponseDescription;

  /** Headers for the caller, from an endpoint's response. */
  abstract responseHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders;

  /**
   * Headers of a response that the daemon itself generates.
   *
   * @param retryAfterMs - time after which the caller should retry, in milliseconds.
   */
  abstract ownResponseHeaders(
    requestId: string | undefined,
    retryAfterMs?: number,
  ): OutgoingHttpHeaders;
}
