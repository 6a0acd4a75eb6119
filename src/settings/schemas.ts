import { z } from 'zod';
import { WorkClass } from '../core/index.js';
import { decimal, flag, list, text, whole } from './field-schemas.js';
import { SectionKind } from './settings-path.js';

const dayMs = 86_400_000;

/** What answers the calls of a service. */
export enum ServiceKind {
  Engine = 'engine',
  Plain = 'plain',
}

/** Who uses a key. */
export enum KeyKind {
  Caller = 'caller',
  Operator = 'operator',
}

/** Role of a model engine in its service. */
export enum EngineRole {
  /** Prefills prompts and generates. */
  Mixed = 'mixed',
  /** Only prefills and exports KV cache. */
  Prefill = 'prefill',
  /** Only generates from imported KV cache. */
  Decode = 'decode',
}

/** `services/{name}`: a model service or a plain service, with its service-level objectives. */
export const serviceSchema = z.strictObject({
  kind: z.enum(ServiceKind),
  /** Models that callers may name; engine services only. */
  models: list().default([]),
  adapters: list().default([]),
  /** Version that the service's endpoints are to run. */
  version: text(64).default('1'),
  /** Routes that may not be repeated, as `METHOD /path-prefix`; plain services only. */
  non_repeatable_routes: list().default([]),
  /** Path that answers whether a key was executed, with `{key}` in it; empty when there is none. */
  status_route: z.string().max(200).default(''),
  remember_ms: whole(60_000, 30 * dayMs).default(dayMs),
  fingerprint_ms: whole(dayMs, 400 * dayMs).default(30 * dayMs),
  call_timeout_ms: whole(100, 3_600_000).default(60_000),
  checkpoint_tokens: whole(1, 10_000).default(64),
  checkpoint_ms: whole(100, 60_000).default(2_000),
  /** Longest time from acceptance to the end of a job. */
  job_timeout_ms: whole(1_000, 7 * dayMs).default(3_600_000),
  objective_first_token_ms: whole(1, 600_000).default(1_900),
  objective_between_tokens_ms: whole(1, 60_000).default(66),
  objective_completion_ms: whole(1, 7 * dayMs).default(120_000),
  /** Share of requests that must meet each latency objective. */
  objective_ratio: decimal(0.5, 0.9999).default(0.95),
  objective_refusal_ratio: decimal(0, 0.5).default(0.01),
  vm_class: text(64).default('standard'),
  min_vms: whole(0, 10_000).default(0),
  max_vms: whole(0, 10_000).default(64),
  reclaimable_ratio_max: decimal(0, 1).default(0.7),
});

/** `workspaces/{name}`: one customer-visible workspace and what it weighs. */
export const workspaceSchema = z.strictObject({
  /** Names of the team's services that the workspace may call. */
  services: list(),
  /** Share in weighted fairness, relative to other workspaces. */
  fair_weight: decimal(0.01, 1_000).default(1),
  weight_cost: decimal(0, 100).default(1),
  weight_wait: decimal(0, 100).default(1),
  weight_tail: decimal(0, 100).default(1),
  weight_recompute: decimal(0, 100).default(1),
  /** Class used until the length predictor has learned the workspace. */
  default_class: z.enum(WorkClass).default(WorkClass.Short),
});

/** `routing/{service}`: how the requests of a service are routed; `default` for the team. */
export const routingSchema = z.strictObject({
  /** Endpoints that a daemon considers for this service. */
  subset_size: whole(2, 1_000).default(128),
  /** Hedged requests as a share of all, at most. */
  hedge_ratio: decimal(0, 0.5).default(0.02),
  /** Retries as a share of all requests, at most. */
  retry_ratio: decimal(0, 0.5).default(0.1),
  max_attempts: whole(1, 10).default(3),
  /** Whether the service's requests may leave the region. */
  spill_over: flag().default(true),
  /** Share of batch slots kept free of long work. */
  short_reserve_ratio: decimal(0, 0.9).default(0.25),
  /** Longest silence of an engine stream before it is suspect. */
  silence_ms: whole(200, 600_000).default(3_000),
});

/** `limits/{workspace}`: limits of a workspace over the whole deployment. */
export const limitsSchema = z.strictObject({
  rate_per_s: decimal(0.01, 1_000_000).default(1_000),
  burst_requests: whole(1, 1_000_000).default(100),
  concurrency_requests: whole(1, 1_000_000).default(1_000),
  spend_usd_per_hour: decimal(0, 1_000_000).default(1_000_000),
  max_body_bytes: whole(1_024, 64 * 1_048_576).default(4 * 1_048_576),
  max_tokens: whole(1, 1_000_000).default(32_768),
});

/** `endpoints/{name}`: one back-end process. */
export const endpointSchema = z.strictObject({
  service: text(64),
  base_url: z.url({ protocol: /^https?$/ }),
  region: text(64),
  failure_domain: text(64),
  /** Identity of the VM; a new VM at the same address is a new endpoint. */
  vm_id: text(128),
  vm_class: text(64).default('standard'),
  reclaimable: flag().default(true),
  price_usd_per_hour: decimal(0, 10_000).default(1),
  batch_slots: whole(1, 10_000).default(8),
  /** Whether the endpoint refuses orders that carry an old fencing token. */
  checks_fence: flag().default(false),
  role: z.enum(EngineRole).default(EngineRole.Mixed),
});

/** `keys/{id}`: a caller's or an operator's key, stored only as a salted hash. */
export const keySchema = z.strictObject({
  kind: z.enum(KeyKind),
  /** `scrypt$saltHex$hashHex`. */
  secret_hash: z.string().regex(/^scrypt\$[0-9a-f]{32}\$[0-9a-f]{64}$/, 'must be scrypt$salt$hash'),
  /** Workspace of a caller's key. */
  workspace: z.string().max(64).default(''),
  /** Path prefix that an operator's key may read and write, such as `prod/tejidos`. */
  scope: z.string().max(200).default(''),
  /** Ed25519 public key (SPKI, base64) that verifies an operator's settings changes. */
  signing_public_key: z.string().max(200).default(''),
});

/** Schema of each section kind. */
export const sectionSchemas = {
  [SectionKind.Services]: serviceSchema,
  [SectionKind.Workspaces]: workspaceSchema,
  [SectionKind.Routing]: routingSchema,
  [SectionKind.Limits]: limitsSchema,
  [SectionKind.Endpoints]: endpointSchema,
  [SectionKind.Keys]: keySchema,
} as const;

export type ServiceSettings = z.output<typeof serviceSchema>;
export type WorkspaceSettings = z.output<typeof workspaceSchema>;
export type RoutingSettings = z.output<typeof routingSchema>;
export type LimitsSettings = z.output<typeof limitsSchema>;
export type EndpointSettings = z.output<typeof endpointSchema>;
export type KeySettings = z.output<typeof keySchema>;
