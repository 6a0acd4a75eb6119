import { bulkPaddingBytes } from '../../platform/standins/endpoint-server.js';
import type { Random } from '../../src/core/index.js';
import { CallKind } from './ledger.js';

export const host = 'soak.example';
export const callerKey = 'soak-key';
export const ordersService = 'orders';

/** Service whose endpoints crash under poison prompts. */
export const promptsService = 'prompts';

/** Beginning of the ids of requests with the poison part. */
export const poisonIdPrefix = 'poison';

const firstParts = 3;
const ownTokens = 50;

/** Parts of a prompt: the first is shared by a third of all, the second by few, the last by none. */
export function promptPrefix(second: string, own: string, random: Random): string {
  return `first${random.int(1, firstParts)}:200,${second}:100,${own}:${ownTokens}`;
}

/** Beginning of the names of faults on the way from gateways to an endpoint. */
export const endpointLinkFault = 'the way to an endpoint';

/**
 * Services that take turns in handling one route, so that an answer tells the configuration's version;
 * more than twice as many as a run has versions, which a gateway may all miss in an outage.
 */
export const versionServices = Array.from({ length: 64 }, (_, at) => `version-${at}`);

/** Service that handles the route of versions under a configuration. */
function serviceOfVersion(version: number): string {
  return versionServices[version % versionServices.length]!;
}

/** Timeout of routes unless a configuration says otherwise, in milliseconds. */
export const usualTimeoutMs = 3_000;

/** What a configuration may say other than usual. */
export interface ConfigurationChanges {
  /** Service of calls that run at most once, safe calls and streams. */
  readonly service?: string;
  readonly timeoutMs?: number;
  readonly maxAttempts?: number;
  /** Time after which callers' connections are closed that wait for a request, in milliseconds. */
  readonly idleTimeoutMs?: number;
  /** Number of routes that nobody asks for. */
  readonly furtherRoutes?: number;
  /** Number of keys that nobody uses. */
  readonly furtherKeys?: number;
}

/** A configuration as the platform's operator writes it. */
export function configuration(version: number, changes: ConfigurationChanges = {}): object {
  const { service = ordersService, maxAttempts = 3, furtherRoutes = 0, furtherKeys = 0 } = changes;
  const route = (kind: string, own: object): object => ({
    name: kind,
    host,
    path_prefix: `/${kind}/`,
    kind: 'safe',
    timeout_ms: changes.timeoutMs ?? usualTimeoutMs,
    max_attempts: maxAttempts,
    service,
    ...own,
  });
  const stream = { kind: 'stream', resumable: true };
  const idleTimeout = changes.idleTimeoutMs && { idle_timeout_ms: changes.idleTimeoutMs };
  return {
    version,
    routes: [
      route(CallKind.Once, { kind: 'unsafe', max_attempts: 2 }),
      route(CallKind.Safe, {}),
      route(CallKind.Stream, stream),
      route(CallKind.Prompt, { ...stream, sticky: true, service: promptsService }),
      route(CallKind.Version, { service: serviceOfVersion(version) }),
      route(CallKind.Bulk, {}),
      route(CallKind.BulkStream, stream),
      ...Array.from({ length: furtherRoutes }, (_, at) => route(`further-${at}`, {})),
    ],
    services: [ordersService, promptsService, ...versionServices].map((name) => ({ name })),
    tenants: [
      {
        name: 'soak',
        api_keys: [callerKey, ...Array.from({ length: furtherKeys }, (_, at) => `further-${at}`)],
      },
    ],
    ...(idleTimeout ? { limits: idleTimeout } : {}),
  };
}

/** A body without the padding that makes it large; padding that is not whole shows, unless at its end. */
export function withoutPadding(body: string): string {
  const whole: readonly number[] = Object.values(bulkPaddingBytes);
  return body.replaceAll(/\.+/g, (padding: string, at: number) => {
    const isCutAtEnd = at + padding.length === body.length;
    return isCutAtEnd || whole.includes(padding.length) ? '' : '(padding)';
  });
}
