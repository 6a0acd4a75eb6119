import { parse } from 'ini';
import { z } from 'zod';
import { OrioleError, Step } from '../core/index.js';
import { boolean, list, text, integer, decimal } from '../settings/field-schemas.js';

/** `host:port` with an IP address or `localhost`. */
const listenAddress = z
  .string()
  .regex(/^(?:\[[0-9a-f:]+\]|[0-9a-z.-]+):\d{1,5}$/i, 'must be host:port')
  .transform((value) => {
    const split = value.lastIndexOf(':');
    const host = value.slice(0, split).replace(/^\[|\]$/g, '');
    return { host, port: Number(value.slice(split + 1)) };
  });

const sections = {
  daemon: z.strictObject({
    name: text(64),
    deployment: text(64),
    region: text(64),
    failure_domain: text(64),
    /** IP address at which peers and operators reach this daemon. */
    advertised_host: text(64).default('127.0.0.1'),
    caller_listen: listenAddress,
    admin_listen: listenAddress,
    rpc_listen: listenAddress,
    /** RPC addresses of other daemons, as host:port, from which a starting daemon gets the members. */
    seeds: list().default([]),
    allow_unauthenticated: boolean().default(false),
    /** How long the caller listener stays open after readiness is turned off. */
    drain_notice_ms: integer(0, 60_000).default(3_000),
    /** Longest graceful stop; requests still in flight afterwards are logged as cut off. */
    drain_timeout_ms: integer(1_000, 86_400_000).default(600_000),
  }),
  log: z.strictObject({
    base_url: z.url({ protocol: /^https?$/ }),
    /** Appends per second of the whole deployment, divided among its daemons. */
    append_rate_per_s: decimal(1, 100_000).default(300),
    claim_shards: integer(1, 4_096).default(4),
    job_shards: integer(1, 4_096).default(4),
    retention_ms: integer(60_000, 31_536_000_000).default(86_400_000),
  }),
  trust: z.strictObject({
    /** Ed25519 public key (SPKI, base64) of the deployment's root operator. */
    root_public_key: text(200),
    /** Shared secret between daemons; unnecessary with mutual TLS. */
    rpc_secret: z.string().max(200).default(''),
    /** Names in the certificates of the deployment's daemons; used with mutual TLS. */
    peer_names: list().default([]),
  }),
  platform: z
    .strictObject({
      cloud_url: z.string().default(''),
      weight_store_url: z.string().default(''),
      /** Rate at which the controllers of one daemon load from the weight store at most. */
      weight_store_bytes_per_s: integer(1_000, 1_000_000_000_000).default(1_000_000_000),
      link_bits_per_s: integer(1_000, 1_000_000_000_000).default(20_000_000),
      link_usd_per_gb: decimal(0, 100).default(0.02),
    })
    .prefault({}),
  tls: z
    .strictObject({
      certificate_file: z.string().default(''),
      key_file: z.string().default(''),
      ca_file: z.string().default(''),
    })
    .prefault({}),
  metrics: z
    .strictObject({
      host: z.string().default(''),
      port: integer(1, 65_535).default(8_125),
    })
    .prefault({}),
} as const;

const fileSchema = z.strictObject(sections);

/** Settings of one daemon, from its own INI file. */
export type DaemonSettings = z.output<typeof fileSchema>;

/**
 * Parses the INI file of a daemon.
 *
 * @throws OrioleError (step `settings`) that lists every problem as `section.key: message`.
 * @example
 * ```ts
 * const settings = parseDaemonSettings(await readFile(file, 'utf8'), file);
 * ```
 */
export function parseDaemonSettings(iniText: string, file: string): DaemonSettings {
  const result = fileSchema.safeParse(stringifyValues(parse(iniText)));
  if (result.success) return result.data;
  const problems = result.error.issues.map((issue) => {
    const keys = issue.code === 'unrecognized_keys' ? `${issue.keys.join(', ')} ` : '';
    return `${issue.path.join('.')}: ${keys}${issue.message}`;
  });
  throw new OrioleError(problems.join('\n'), { step: Step.Settings, peer: file });
}

/** The INI library turns `true` and `false` into booleans; the schemas parse strings. */
function stringifyValues(document: Record<string, unknown>): unknown {
  return Object.fromEntries(
    Object.entries(document).map(([name, value]) => [
      name,
      typeof value === 'object' && value !== null
        ? stringifyValues(value as Record<string, unknown>)
        : String(value),
    ]),
  );
}
