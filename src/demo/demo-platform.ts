import { createBearerKey, formatBearerKey, hashSecret } from '../security/index.js';
import { SystemClock } from '../core/index.js';
import {
  EngineServer,
  LogServer,
  MemoryWeightStore,
  PlainServer,
  WeightStoreServer,
} from '../standins/index.js';
import { DemoCloud, demoTokenGapMs } from './demo-cloud.js';
import {
  planning,
  teamSettings,
  tejidos,
  type DemoEndpoint,
  type DemoTeam,
} from './team-settings.js';

/** Failure domains of the demonstration and the price of a VM in each. */
const failureDomains = [
  { region: 'litoral', failureDomain: 'litoral-rosario', priceUsdPerHour: 1 },
  { region: 'litoral', failureDomain: 'litoral-parana', priceUsdPerHour: 0.8 },
  { region: 'cuyo', failureDomain: 'cuyo-mendoza', priceUsdPerHour: 0.7 },
] as const;

/** On-demand VMs cost this many times as much as reclaimable ones. */
const onDemandFactor = 3;

/** Name of the demonstration's deployment. */
export const demoDeployment = 'demo';

/** A failure domain of the demonstration. */
export type DemoFailureDomain = (typeof failureDomains)[number];

/**
 * Stand-ins of everything that the platform gives: log service, engines and plain services of both
 * teams in two regions and three failure domains, all on loopback.
 *
 * @example
 * ```ts
 * const platform = new DemoPlatform();
 * await platform.start();
 * ```
 */
export class DemoPlatform {
  readonly clock = new SystemClock();
  readonly log = new LogServer();
  readonly cloud = new DemoCloud({
    clock: this.clock,
    offers: failureDomains.flatMap(({ failureDomain, priceUsdPerHour }) => [
      { failureDomain, vmClass: 'standard', reclaimable: true, priceUsdPerHour },
      {
        failureDomain,
        vmClass: 'standard',
        reclaimable: false,
        priceUsdPerHour: priceUsdPerHour * onDemandFactor,
      },
    ]),
  });
  readonly weightStore = new MemoryWeightStore({
    clock: this.clock,
    rateBytesPerS: 1e9,
    modelBytes: 1e8,
  });
  readonly plainServers: PlainServer[] = [];
  /** Caller keys by `team/workspace`. */
  readonly callerKeys = new Map<string, string>();
  readonly #settings: string[] = [];
  readonly #weightServer = new WeightStoreServer(this.weightStore, this.clock);
  #weightStoreUrl = '';

  /** Failure domains, one for each daemon of the demonstration. */
  get failureDomains(): readonly DemoFailureDomain[] {
    return failureDomains;
  }

  /** Engines of both teams, those on VMs that were created or have ended included. */
  get engines(): readonly EngineServer[] {
    return [...this.cloud.engines.values()];
  }

  get weightStoreUrl(): string {
    return this.#weightStoreUrl;
  }

  /** INI text of both teams. */
  get settingsText(): string {
    return this.#settings.join('\n');
  }

  async start(): Promise<void> {
    await this.log.listen();
    await this.cloud.listen();
    this.#weightStoreUrl = await this.#weightServer.listen();
    for (const team of [tejidos, planning]) await this.#startTeam(team);
  }

  async close(): Promise<void> {
    await Promise.all(
      [this.cloud, this.#weightServer, ...this.plainServers, this.log].map((server) =>
        server.close(),
      ),
    );
  }

  async #startTeam(team: DemoTeam): Promise<void> {
    const endpoints: DemoEndpoint[] = [];
    for (let index = 0; index < team.engineWorkers; index++) {
      const engine = new EngineServer({
        name: `${team.engineService}-${index + 1}`,
        vmId: `vm-${team.engineService}-${index + 1}`,
        models: [team.model],
        checksFence: true,
        tokenGapMs: demoTokenGapMs,
      });
      await engine.listen();
      const endpoint = demoEndpoint(engine, team.engineService, index);
      this.cloud.register(engine, team.team, endpoint);
      endpoints.push(endpoint);
    }
    for (let index = 0; index < team.plainWorkers; index++) {
      const plain = new PlainServer({
        name: `${team.plainService}-${index + 1}`,
        vmId: `vm-${team.plainService}-${index + 1}`,
      });
      await plain.listen();
      this.plainServers.push(plain);
      endpoints.push(demoEndpoint(plain, team.plainService, index));
    }
    const hashes = new Map<string, string>();
    for (const workspace of team.workspaces) {
      const key = createBearerKey(`${team.team}/${workspace}-key`);
      this.callerKeys.set(`${team.team}/${workspace}`, formatBearerKey(key));
      hashes.set(workspace, await hashSecret(key.secret));
    }
    this.#settings.push(teamSettings(demoDeployment, team, endpoints, hashes));
  }
}

function demoEndpoint(
  server: EngineServer | PlainServer,
  service: string,
  index: number,
): DemoEndpoint {
  const place = failureDomains[index % failureDomains.length] ?? failureDomains[0];
  return {
    name: server.name,
    service,
    baseUrl: server.baseUrl,
    vmId: server.vmId,
    region: place.region,
    failureDomain: place.failureDomain,
    // The first worker of each failure domain is on demand, so that a reclaim leaves one.
    reclaimable: index >= failureDomains.length,
    priceUsdPerHour:
      index < failureDomains.length
        ? place.priceUsdPerHour * onDemandFactor
        : place.priceUsdPerHour,
  };
}
