/** Whether and how a request may be sent again. */
export enum RequestKind {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** Runs at most once for each request id. */
  AtMostOnce = 'at_most_once',
  /** Answers with a sequence of events; see {@link TrafficRoute.isResumable}. */
  Stream = 'stream',
}

/** Share of a route's requests that goes to a service. */
export interface ServiceShare {
  readonly serviceName: string;
  /** Relative to the other shares of the route; positive. */
  readonly weight: number;
}

/** Requests below one path of a host. */
export interface TrafficRoute {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time for an answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer has its full value, in milliseconds; to the first event of a stream. */
  readonly objectiveMs: number;
  /** Longest pause between events that is still on time, in milliseconds. */
  readonly objectiveBetweenEventsMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Endpoints to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether requests describe their prompt. */
  readonly hasPrompt: boolean;
  /** Whether a stream may continue at another endpoint after its last event. */
  readonly isResumable: boolean;
}

/** Bounds and prices for the number of endpoints of a service in a failure domain. */
export interface ScalingLimits {
  readonly minPerDomain: number;
  readonly maxPerDomain: number;
  /** Time from the order to the first request, in milliseconds. */
  readonly bootMs: number;
  /** Price of a reclaimable endpoint relative to an on-demand one. */
  readonly reclaimablePriceRatio: number;
  /** Price of an on-demand endpoint by failure domain. */
  readonly priceByDomain: ReadonlyMap<string, number>;
}

/** A service behind the gateway. */
export interface TrafficService {
  readonly name: string;
  readonly healthPath: string;
  /** Undefined when the number of endpoints is not ours to choose. */
  readonly scaling: ScalingLimits | undefined;
}

/** Unit of a workspace's rate. */
export enum QuotaUnit {
  Requests = 'requests',
  Tokens = 'tokens',
}

/** A workspace with its callers' keys and its quota. */
export interface TrafficWorkspace {
  readonly name: string;
  readonly callerKeys: readonly string[];
  /** Goes before the rank of the route; undefined when the route's counts. */
  readonly priority: number | undefined;
  readonly unit: QuotaUnit;
  /** Tokens that a request without a token estimate counts as. */
  readonly defaultTokens: number;
  /** 0 means no limit. */
  readonly ratePerS: number;
  readonly burst: number;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of everything that operators configure. */
export interface TrafficConfig {
  /** Grows from one version to the next, not always by one. */
  readonly version: number;
  readonly routes: readonly TrafficRoute[];
  readonly services: readonly TrafficService[];
  readonly workspaces: readonly TrafficWorkspace[];
  readonly limits: CallerLimits;
}
