import { z } from 'zod';
import { sectionSchemas } from './schemas.js';
import { allowedValues } from './check-section.js';
import { SectionKind } from './settings-path.js';

/** Description of one setting, taken from its schema. */
export interface SettingDescription {
  readonly kind: SectionKind;
  readonly setting: string;
  readonly meaning: string;
  readonly unit: string;
  readonly allowed: string;
  /** Default as text; undefined when the setting is required. */
  readonly defaultText: string | undefined;
}

/** Units by the suffix of a setting's name; the first match applies. */
const unitsBySuffix: readonly (readonly [suffix: string, unit: string])[] = [
  ['_usd_per_hour', 'USD/h'],
  ['_per_s', '1/s'],
  ['_ms', 'ms'],
  ['_bytes', 'bytes'],
  ['_tokens', 'tokens'],
  ['_requests', 'requests'],
  ['_vms', 'VMs'],
  ['_slots', 'slots'],
  ['_attempts', 'attempts'],
  ['_ratio', 'share'],
  ['_ratio_max', 'share'],
];

/** Every setting of every section kind, in the order of the schemas. */
export function describeSettings(): SettingDescription[] {
  return Object.values(SectionKind).flatMap((kind) =>
    Object.entries<z.ZodType>(sectionSchemas[kind].shape).map(([setting, schema]) => ({
      kind,
      setting,
      meaning: schema.description ?? '',
      unit: unitsBySuffix.find(([suffix]) => setting.endsWith(suffix))?.[1] ?? '',
      allowed: allowedValues(schema),
      defaultText:
        schema instanceof z.ZodDefault ? formatDefault(schema.def.defaultValue) : undefined,
    })),
  );
}

function formatDefault(value: unknown): string {
  return Array.isArray(value) ? value.join(', ') : String(value);
}

/**
 * Formats all settings as Markdown tables, one for each section kind. A test compares the result
 * with `docs/operators/log-and-settings.md`, which contains it.
 */
export function formatSettingsReference(): string {
  const descriptions = describeSettings();
  return Object.values(SectionKind)
    .map((kind) => {
      const rows = descriptions
        .filter((description) => description.kind === kind)
        .map(({ setting, meaning, unit, allowed, defaultText }) => {
          const defaultCell =
            defaultText === undefined ? 'required' : defaultText === '' ? 'empty' : defaultText;
          return `| \`${setting}\` | ${unit} | ${allowed} | ${defaultCell} | ${meaning} |`;
        });
      return [
        `### ${kind}`,
        '',
        '| setting | unit | allowed | default | meaning |',
        '| --- | --- | --- | --- | --- |',
        ...rows,
        '',
      ].join('\n');
    })
    .join('\n');
}
