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

/** A configuration as the platform's operator writes it. */
export function configuration(version: number): object {
  const route = (kind: CallKind, changes: object): object => ({
    name: kind,
    host,
    path_prefix: `/${kind}/`,
    kind: 'safe',
    timeout_ms: 3_000,
    max_attempts: 3,
    service: ordersService,
    ...changes,
  });
  return {
    version,
    routes: [
      route(CallKind.Once, { kind: 'unsafe', max_attempts: 2 }),
      route(CallKind.Safe, {}),
      route(CallKind.Stream, { kind: 'stream', resumable: true }),
      route(CallKind.Prompt, {
        kind: 'stream',
        resumable: true,
        sticky: true,
        service: promptsService,
      }),
      route(CallKind.Version, { service: serviceOfVersion(version) }),
    ],
    services: [ordersService, promptsService, ...versionServices].map((name) => ({ name })),
    tenants: [{ name: 'soak', api_keys: [callerKey] }],
  };
}
