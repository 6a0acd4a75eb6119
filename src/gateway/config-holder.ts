import { EventId, type EventLog } from '../telemetry/index.js';
import { RouteTable } from './route-table.js';
import type { TrafficConfig } from './traffic-config.js';

/** The configuration in force. Only moves to higher versions, whatever order they arrive in. */
export class ConfigHolder {
  readonly #events: EventLog;
  readonly #listeners: ((table: RouteTable) => void)[] = [];
  #table: RouteTable | undefined;

  constructor(events: EventLog) {
    this.#events = events;
  }

  /** Undefined until the first version is known. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Takes a version; one that is not newer than the one in force is ignored. */
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

  /** Calls `listener` with each newer version. */
  onChange(listener: (table: RouteTable) => void): void {
    this.#listeners.push(listener);
  }
}
