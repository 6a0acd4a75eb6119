import { z } from 'zod';
import { WorkClass } from '../core/index.js';
import {
  decimal,
  boolean,
  httpUrl,
  list,
  optionalText,
  routeList,
  secretHash,
  text,
  integer,
} from './field-schemas.js';
import { SectionKind } from './settings-path.js';

const dayMs = 86_400_000;

/** Type of back end that serves the calls of a service. */
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
  kind: z.enum(ServiceKind).describe('What answers the calls: a model engine or a plain service.'),
  models: list().default([]).describe('Models that callers may name; engine services only.'),
  adapters: list().default([]).describe('Adapters that the endpoints load.'),
  version: text(64).default('1').describe("Version that the service's endpoints are to run."),
  non_repeatable_routes: routeList()
    .default([])
    .describe('Routes that may not be repeated, as `METHOD /path-prefix`; plain services only.'),
  status_route: optionalText(200)
    .default('')
    .describe(
      'Path that answers whether a key was executed, with `{key}` in it; empty when there is none.',
    ),
  remember_ms: integer(60_000, 30 * dayMs)
    .default(dayMs)
    .describe('How long a claimed idempotency key and its outcome are kept.'),
  fingerprint_ms: integer(dayMs, 400 * dayMs)
    .default(30 * dayMs)
    .describe(
      'How long a fingerprint of an expired key is kept, so that it is refused; at least remember_ms.',
    ),
  call_timeout_ms: integer(100, 3_600_000)
    .default(60_000)
    .describe('Longest time for one call of a plain service.'),
  checkpoint_tokens: integer(1, 10_000)
    .default(64)
    .describe('Tokens of a job after which its text is recorded.'),
  checkpoint_ms: integer(100, 60_000)
    .default(2_000)
    .describe('Time after which the text of a job is recorded.'),
  job_timeout_ms: integer(1_000, 7 * dayMs)
    .default(3_600_000)
    .describe('Longest time from acceptance to the end of a job.'),
  objective_first_token_ms: integer(1, 600_000)
    .default(1_900)
    .describe('Objective: time to the first token.'),
  objective_between_tokens_ms: integer(1, 60_000)
    .default(66)
    .describe('Objective: time between two tokens.'),
  objective_completion_ms: integer(1, 7 * dayMs)
    .default(120_000)
    .describe('Objective: time to the end of the answer.'),
  objective_ratio: decimal(0.5, 0.9999)
    .default(0.95)
    .describe('Share of requests that must meet each latency objective.'),
  objective_refusal_ratio: decimal(0, 0.5)
    .default(0.01)
    .describe('Objective: share of requests that may be refused.'),
  vm_class: text(64).default('standard').describe('Machine class that the controller orders.'),
  min_vms: integer(0, 10_000)
    .default(0)
    .describe('VMs that the controller keeps at least; at most max_vms.'),
  max_vms: integer(0, 10_000).default(64).describe('VMs that the controller keeps at most.'),
  reclaimable_ratio_max: decimal(0, 1)
    .default(0.7)
    .describe('Share of VMs that may be reclaimable.'),
});

/** `workspaces/{name}`: one customer-visible workspace with its weights in fairness and routing. */
export const workspaceSchema = z.strictObject({
  services: list().describe("Names of the team's services that the workspace may call."),
  fair_weight: decimal(0.01, 1_000)
    .default(1)
    .describe('Share in weighted fairness, relative to other workspaces.'),
  weight_cost: decimal(0, 100).default(1).describe('Weight of price in a routing decision.'),
  weight_wait: decimal(0, 100)
    .default(1)
    .describe('Weight of the expected wait for the first token.'),
  weight_tail: decimal(0, 100).default(1).describe('Weight of the risk of a long wait.'),
  weight_recompute: decimal(0, 100)
    .default(1)
    .describe('Weight of prompt tokens that are not cached.'),
  default_class: z
    .enum(WorkClass)
    .default(WorkClass.Short)
    .describe('Class used until the length predictor has learned the workspace.'),
});

/** `routing/{service}`: how the requests of a service are routed; `default` for the team. */
export const routingSchema = z.strictObject({
  subset_size: integer(2, 1_000)
    .default(128)
    .describe('Endpoints that a daemon considers for this service.'),
  hedge_ratio: decimal(0, 0.5)
    .default(0.02)
    .describe('Hedged requests as a share of all, at most.'),
  retry_ratio: decimal(0, 0.5)
    .default(0.1)
    .describe('Retries as a share of all requests, at most.'),
  max_attempts: integer(1, 10).default(3).describe('Attempts per request, the first included.'),
  spill_over: boolean()
    .default(true)
    .describe("Whether the service's requests may leave the region."),
  short_reserve_ratio: decimal(0, 0.9)
    .default(0.25)
    .describe('Share of batch slots kept free of long work.'),
  queue_ms: integer(0, 3_600_000)
    .default(10_000)
    .describe('Longest wait in a queue; a request that would wait longer is refused at once.'),
  silence_ms: integer(200, 600_000)
    .default(3_000)
    .describe('Longest silence of an engine stream before it is suspect.'),
});

/** `limits/{workspace}`: limits of a workspace over the whole deployment. */
export const limitsSchema = z.strictObject({
  rate_per_s: decimal(0.01, 1_000_000)
    .default(1_000)
    .describe('Requests per second over the whole deployment.'),
  burst_requests: integer(1, 1_000_000)
    .default(100)
    .describe('Requests that may arrive at once above the rate.'),
  concurrency_requests: integer(1, 1_000_000)
    .default(1_000)
    .describe('Requests in progress at once.'),
  spend_usd_per_hour: decimal(0, 1_000_000).default(1_000_000).describe('Spend per hour.'),
  max_body_bytes: integer(1_024, 64 * 1_048_576)
    .default(4 * 1_048_576)
    .describe('Largest request body.'),
  max_tokens: integer(1, 1_000_000)
    .default(32_768)
    .describe('Tokens that one request may generate.'),
});

/** `endpoints/{name}`: one back-end process. */
export const endpointSchema = z.strictObject({
  service: text(64).describe("Name of the team's service that the endpoint belongs to."),
  base_url: httpUrl().describe('Address of the endpoint.'),
  region: text(64).describe('Region of the endpoint.'),
  failure_domain: text(64).describe('Failure domain of the endpoint.'),
  vm_id: text(128).describe('Identity of the VM; a new VM at the same address is a new endpoint.'),
  vm_class: text(64).default('standard').describe('Machine class.'),
  reclaimable: boolean().default(true).describe('Whether the cloud may reclaim the VM.'),
  price_usd_per_hour: decimal(0, 10_000).default(1).describe('Price of the VM.'),
  batch_slots: integer(1, 10_000).default(8).describe('Requests that the engine runs at once.'),
  checks_fence: boolean()
    .default(false)
    .describe('Whether the endpoint refuses orders that carry an old fencing token.'),
  role: z
    .enum(EngineRole)
    .default(EngineRole.Mixed)
    .describe('Part of the work that a model engine does.'),
});

/** `keys/{id}`: a caller's or an operator's key, stored only as a salted hash. */
export const keySchema = z.strictObject({
  kind: z.enum(KeyKind).describe('Who uses the key.'),
  secret_hash: secretHash().describe(
    '`scrypt$saltHex$hashHex`; the secret itself is never stored.',
  ),
  workspace: optionalText(64).default('').describe("Workspace of a caller's key."),
  scope: optionalText(200)
    .default('')
    .describe("Path prefix that an operator's key may read and write, such as `prod/tejidos`."),
  signing_public_key: optionalText(200)
    .default('')
    .describe("Ed25519 public key (SPKI, base64) that verifies an operator's settings changes."),
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
