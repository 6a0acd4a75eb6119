import {
  endpointSchema,
  keySchema,
  limitsSchema,
  routingSchema,
  serviceSchema,
  workspaceSchema,
  type EndpointSettings,
  type KeySettings,
  type LimitsSettings,
  type RoutingSettings,
  type ServiceSettings,
  type WorkspaceSettings,
} from './schemas.js';
import { SectionKind, SettingsPath } from './settings-path.js';

/** Raw values of a section: text by setting name. */
export type SectionValues = Readonly<Record<string, string>>;

/** A typed section with its path. */
export interface Section<T> {
  /** `team/name`, unique within the deployment. */
  readonly id: string;
  readonly path: SettingsPath;
  readonly values: T;
}

/**
 * Typed, immutable view of all settings in force, built once for each accepted change. The sections
 * must already be valid by their schemas.
 *
 * @example
 * ```ts
 * const deployment = Deployment.from(new Map([['prod/a/limits/w', { rate_per_s: '5' }]]));
 * deployment.limits('a/w').rate_per_s; // 5
 * ```
 */
export class Deployment {
  readonly services = new Map<string, Section<ServiceSettings>>();
  readonly workspaces = new Map<string, Section<WorkspaceSettings>>();
  readonly endpoints = new Map<string, Section<EndpointSettings>>();
  readonly keys = new Map<string, Section<KeySettings>>();
  readonly #routing = new Map<string, RoutingSettings>();
  readonly #limits = new Map<string, LimitsSettings>();

  readonly #sources = new Map<string, SectionSource>();

  /**
   * Builds a view of `sections`.
   *
   * @param sections - raw values by path, as accepted by the configuration fold.
   * @param previous - an earlier view; its parsed sections are reused where the object of raw values
   * is the same.
   */
  static from(sections: ReadonlyMap<string, SectionValues>, previous?: Deployment): Deployment {
    const deployment = new Deployment();
    for (const [pathText, values] of sections) {
      const previousSource = previous ? previous.#sources.get(pathText) : undefined;
      const source =
        previousSource?.values === values ? previousSource : parseSource(pathText, values);
      deployment.#sources.set(pathText, source);
      deployment.#add(source.parsed);
    }
    return deployment;
  }

  /** Routing settings of a service: its own section, else the team's `default`, else schema defaults. */
  routing(serviceId: string): RoutingSettings {
    const team = serviceId.split('/')[0] ?? '';
    return (
      this.#routing.get(serviceId) ??
      this.#routing.get(`${team}/default`) ??
      routingSchema.parse({})
    );
  }

  /** Limits of a workspace: its own section, else the team's `default`, else schema defaults. */
  limits(workspaceId: string): LimitsSettings {
    const team = workspaceId.split('/')[0] ?? '';
    return (
      this.#limits.get(workspaceId) ?? this.#limits.get(`${team}/default`) ?? limitsSchema.parse({})
    );
  }

  /** The engine service of `team` that serves `model`; undefined when there is none. */
  serviceForModel(team: string, model: string): Section<ServiceSettings> | undefined {
    for (const service of this.services.values()) {
      if (service.path.team === team && service.values.models.includes(model)) return service;
    }
    return undefined;
  }

  /** Endpoints of a service, sorted by id. */
  endpointsForService(serviceId: string): Section<EndpointSettings>[] {
    return [...this.endpoints.values()]
      .filter(({ path, values }) => `${path.team}/${values.service}` === serviceId)
      .sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  #add(parsed: ParsedSection): void {
    const { kind, section } = parsed;
    switch (kind) {
      case SectionKind.Services:
        this.services.set(section.id, section);
        break;
      case SectionKind.Workspaces:
        this.workspaces.set(section.id, section);
        break;
      case SectionKind.Endpoints:
        this.endpoints.set(section.id, section);
        break;
      case SectionKind.Keys:
        this.keys.set(section.id, section);
        break;
      case SectionKind.Routing:
        this.#routing.set(section.id, section.values);
        break;
      case SectionKind.Limits:
        this.#limits.set(section.id, section.values);
        break;
    }
  }
}

type ParsedSection =
  | { readonly kind: SectionKind.Services; readonly section: Section<ServiceSettings> }
  | { readonly kind: SectionKind.Workspaces; readonly section: Section<WorkspaceSettings> }
  | { readonly kind: SectionKind.Endpoints; readonly section: Section<EndpointSettings> }
  | { readonly kind: SectionKind.Keys; readonly section: Section<KeySettings> }
  | { readonly kind: SectionKind.Routing; readonly section: Section<RoutingSettings> }
  | { readonly kind: SectionKind.Limits; readonly section: Section<LimitsSettings> };

/** A parsed section with the raw values from which it was parsed. */
interface SectionSource {
  readonly values: SectionValues;
  readonly parsed: ParsedSection;
}

function parseSource(pathText: string, values: SectionValues): SectionSource {
  return { values, parsed: parseSection(SettingsPath.parse(pathText), values) };
}

function parseSection(path: SettingsPath, values: SectionValues): ParsedSection {
  const { kind, qualifiedName: id } = path;
  switch (kind) {
    case SectionKind.Services:
      return { kind, section: { id, path, values: serviceSchema.parse(values) } };
    case SectionKind.Workspaces:
      return { kind, section: { id, path, values: workspaceSchema.parse(values) } };
    case SectionKind.Endpoints:
      return { kind, section: { id, path, values: endpointSchema.parse(values) } };
    case SectionKind.Keys:
      return { kind, section: { id, path, values: keySchema.parse(values) } };
    case SectionKind.Routing:
      return { kind, section: { id, path, values: routingSchema.parse(values) } };
    case SectionKind.Limits:
      return { kind, section: { id, path, values: limitsSchema.parse(values) } };
  }
}
