/** One back-end process of the demonstration. */
export interface DemoEndpoint {
  readonly name: string;
  readonly service: string;
  readonly baseUrl: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly vmId: string;
  readonly priceUsdPerHour: number;
  readonly reclaimable: boolean;
}

/** A team of the demonstration, with its sizes as in production. */
export interface DemoTeam {
  readonly team: string;
  readonly engineService: string;
  readonly model: string;
  readonly engineWorkers: number;
  /** VMs in each region that hold after the loss of a failure domain. */
  readonly minVms: number;
  readonly plainService: string;
  readonly plainWorkers: number;
  readonly nonRepeatableRoute: string;
  readonly workspaces: readonly string[];
  readonly weights: string;
}

/** The tender assistant: callers are patient, so cost and recomputation weigh most. */
export const tejidos: DemoTeam = {
  team: 'tejidos',
  engineService: 'sales-assistant',
  model: 'fence-1',
  engineWorkers: 8,
  minVms: 3,
  plainService: 'orders',
  plainWorkers: 3,
  nonRepeatableRoute: 'POST /confirmations',
  workspaces: ['tenders', 'counter', 'deliveries', 'municipal', 'rural'],
  weights: 'weight_cost = 3\nweight_recompute = 3\nweight_wait = 0.5\nweight_tail = 0.5',
};

/** The term planner: evening preparation cannot slip, so waiting and tails weigh most. */
export const planning: DemoTeam = {
  team: 'planning',
  engineService: 'planner',
  model: 'term-1',
  engineWorkers: 6,
  minVms: 2,
  plainService: 'school',
  plainWorkers: 3,
  nonRepeatableRoute: 'POST /publications',
  workspaces: ['curricula', 'lessons', 'units', 'primary', 'secondary'],
  weights: 'weight_cost = 0.5\nweight_recompute = 0.5\nweight_wait = 3\nweight_tail = 3',
};

/**
 * Writes the INI settings of a team.
 *
 * @param keyHashes - stored hash of the caller key of each workspace.
 */
export function teamSettings(
  deployment: string,
  team: DemoTeam,
  endpoints: readonly DemoEndpoint[],
  keyHashes: ReadonlyMap<string, string>,
): string {
  const root = `${deployment}/${team.team}`;
  return [
    `[${root}/services/${team.engineService}]`,
    'kind = engine',
    `models = ${team.model}`,
    'checkpoint_tokens = 16',
    'checkpoint_ms = 500',
    `min_vms = ${team.minVms}`,
    `[${root}/services/${team.plainService}]`,
    'kind = plain',
    `non_repeatable_routes = ${team.nonRepeatableRoute}`,
    ...team.workspaces.flatMap((workspace) => [
      `[${root}/workspaces/${workspace}]`,
      `services = ${team.engineService}, ${team.plainService}`,
      team.weights,
      `[${root}/keys/${workspace}-key]`,
      'kind = caller',
      `workspace = ${workspace}`,
      `secret_hash = ${keyHashes.get(workspace) ?? ''}`,
    ]),
    ...endpoints.flatMap((endpoint) => [
      `[${root}/endpoints/${endpoint.name}]`,
      `service = ${endpoint.service}`,
      `base_url = ${endpoint.baseUrl}`,
      `region = ${endpoint.region}`,
      `failure_domain = ${endpoint.failureDomain}`,
      `vm_id = ${endpoint.vmId}`,
      `price_usd_per_hour = ${endpoint.priceUsdPerHour}`,
      `reclaimable = ${endpoint.reclaimable}`,
      `checks_fence = ${endpoint.service === team.engineService}`,
    ]),
    '',
  ].join('\n');
}
