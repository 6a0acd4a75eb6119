/** Whether and how a request may be sent again. */
export enum RequestKind {
  /** May run any number of times, so it may be retried. */
  Idempotent = 'idempotent',
  /** Runs at most once for each request id. */
  AtMostOnce = 'at_most_once',
  /** The response is a sequence of events; see {@link TrafficRoute.isResumable}. */
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
  /** Longest time for a complete response, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective in milliseconds: of the response, or of the first event of a stream. */
  readonly objectiveMs: number;
  /** Latency objective between two events of a stream, in milliseconds. */
  readonly objectiveBetweenEventsMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Maximum number of endpoints that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether requests describe their prompt. */
  readonly hasPrompt: boolean;
  /** Whether a stream may resume at another endpoint after its last event. */
  readonly isResumable: boolean;
}

/** Bounds and prices for the number of endpoints of a service in a failure domain. */
export interface ScalingLimits {
  readonly minPerDomain: number;
  readonly maxPerDomain: number;
  /** Time from ordering an endpoint until it serves requests, in milliseconds. */
  readonly bootMs: number;
  /** Price of a reclaimable endpoint relative to an on-demand one. */
  readonly reclaimablePriceRatio: number;
  /** Price of an on-demand endpoint by failure domain. */
  readonly priceByDomain: ReadonlyMap<string, number>;
}

/** Properties of a service's model engines. */
export interface EngineProperties {
  /** Output tokens that one event of a stream holds. */
  readonly stride: number;
  /** Memory of a token's keys and values; undefined when not stated. */
  readonly tokenBytes: number | undefined;
}

/** A service behind the gateway. */
export interface TrafficService {
  readonly name: string;
  readonly healthPath: string;
  /** Undefined when the gateway does not scale the service. */
  readonly scaling: ScalingLimits | undefined;
  /** Undefined when the service has no model engines, or nothing is stated of them. */
  readonly engine?: EngineProperties | undefined;
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
  /** Overrides the priority of the route; undefined to use the route's. */
  readonly priority: number | undefined;
  readonly unit: QuotaUnit;
  /** Tokens charged for a request without a token estimate. */
  readonly defaultTokens: number;
  /** 0 means no limit. */
  readonly ratePerS: number;
  readonly burst: number;
}

/** Limits for the requests and connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operators' configuration. */
export interface TrafficConfig {
  /** Increases with each version, not always by one. */
  readonly version: number;
  readonly routes: readonly TrafficRoute[];
  readonly services: readonly TrafficService[];
  /** Whether routes that are not public need a key, also when no workspace has one any more. */
  readonly requiresKeys: boolean;
  readonly workspaces: readonly TrafficWorkspace[];
  readonly limits: CallerLimits;
}
