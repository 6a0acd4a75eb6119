import { EventId, type EventLog } from '../telemetry/index.js';
import { RouteTable } from './route-table.js';
import type { TrafficConfig } from './traffic-config.js';

/**
 * Holds the configuration in force. The version only increases, in whatever order versions arrive.
 */
export class ConfigHolder {
  readonly #events: EventLog;
  readonly #listeners: ((table: RouteTable) => void)[] = [];
  #table: RouteTable | undefined;

  constructor(events: EventLog) {
    this.#events = events;
  }

  /** Lookups in the version in force; undefined until the first version arrives. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Puts a version in force. Ignores a version that is not newer than the current one. */
  update(config: TrafficConfig): void {
    const { version, routes, services, workspaces } = config;
    if (version <= (this.#table?.config.version ?? -1)) return;
    this.#table = new RouteTable(config);
    this.#events.info(EventId.ConfigInForce, 'configuration is in force', {
      version,
      routes: routes.length,
      services: services.length,
      workspaces: workspaces.length,
    });
    for (const listener of this.#listeners) listener(this.#table);
  }

  /** Calls `listener` with each version that is put in force from now on. */
  onChange(listener: (table: RouteTable) => void): void {
    this.#listeners.push(listener);
  }
}
