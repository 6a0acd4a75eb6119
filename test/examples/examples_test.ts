import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { parseDaemonSettings } from '../../src/daemon/index.js';
import {
  checkSettings,
  Deployment,
  ServiceKind,
  SettingsDocument,
  type Section,
  type EndpointSettings,
} from '../../src/settings/index.js';

const directory = join(import.meta.dirname, '..', '..', 'examples');

function read(file: string): SettingsDocument {
  return SettingsDocument.fromBytes(readFileSync(join(directory, file)), file);
}

/** Endpoints of each service, and the failure domains of all. */
function sizes(file: string): { services: Record<string, number>; domains: string[] } {
  const { endpoints } = Deployment.from(read(file).sections);
  const services: Record<string, number> = {};
  for (const { values } of endpoints.values()) {
    services[values.service] = (services[values.service] ?? 0) + 1;
  }
  return { services, domains: domainsOf([...endpoints.values()]) };
}

function domainsOf(endpoints: readonly Section<EndpointSettings>[]): string[] {
  const names = endpoints.map(({ values }) => `${values.region}/${values.failure_domain}`);
  return [...new Set(names)].sort();
}

describe('examples', () => {
  it.each(['alambres.ini', 'haneul.ini'])(
    '%s passes the check of oriolectl without a warning (else a copy of it is rejected)',
    (file) => {
      const document = read(file);
      expect(document.sections.size).toBeGreaterThan(0);
      expect(checkSettings([document])).toEqual([]);
    },
  );

  it('do not define a section twice, as both teams share a deployment', () => {
    expect(checkSettings([read('alambres.ini'), read('haneul.ini')])).toEqual([]);
  });

  it('have the sizes and failure domains of section 1.2 of the design page', () => {
    expect(sizes('alambres.ini')).toEqual({
      services: { 'sales-assistant': 8, orders: 3 },
      domains: ['cuyo/cuyo-mendoza', 'litoral/litoral-parana', 'litoral/litoral-rosario'],
    });
    expect(sizes('haneul.ini')).toEqual({
      services: { planner: 6, school: 3 },
      domains: ['busan/busan-a', 'seoul/seoul-a', 'seoul/seoul-b'],
    });
    for (const file of ['alambres.ini', 'haneul.ini']) {
      expect(Deployment.from(read(file).sections).workspaces.size).toBe(5);
    }
  });

  it('mark the calls that must not repeat (else a confirmation could run twice)', () => {
    for (const file of ['alambres.ini', 'haneul.ini']) {
      const services = [...Deployment.from(read(file).sections).services.values()];
      const plain = services.filter(({ values }) => values.kind === ServiceKind.Plain);
      expect(plain.map(({ values }) => values.non_repeatable_routes.length)).toEqual([1]);
    }
  });

  describe('oriolestackd.ini', () => {
    const text = readFileSync(join(directory, 'oriolestackd.ini'), 'utf8');

    it('is accepted by the daemon', () => {
      expect(() => parseDaemonSettings(text, 'oriolestackd.ini')).not.toThrow();
    });

    it('names every key, so that none has to be looked up in the source', () => {
      const settings = parseDaemonSettings(text, 'oriolestackd.ini');
      for (const [section, values] of Object.entries(settings)) {
        const body = text.split(`[${section}]`)[1]?.split('\n[')[0] ?? '';
        const named = [...body.matchAll(/^(\w+) =/gm)].map(([, key]) => key);
        expect(named.sort()).toEqual(Object.keys(values).sort());
      }
    });
  });
});
