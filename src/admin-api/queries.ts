import { z } from 'zod';
import { burnSnapshotSchema } from '../report/index.js';
import {
  daemonStatusSchema,
  drainResultSchema,
  endpointStatusSchema,
  explanationSchema,
  settingsInForceSchema,
  workItemSchema,
  WorkState,
} from './answers.js';

/** Queries that are sent to every daemon; the values are the names of the RPC methods. */
export enum AdminQuery {
  SettingsInForce = 'admin.settings_in_force',
  Status = 'admin.status',
  Endpoints = 'admin.endpoints',
  Drain = 'admin.drain',
  Jobs = 'admin.jobs',
  Explain = 'admin.explain',
  Burn = 'admin.burn',
}

const boundedString = z.string().max(400);

/** Schemas of the parameters of each query. */
export const queryParams = {
  [AdminQuery.SettingsInForce]: z.object({
    /** Only sections below this path; empty for all. */
    path: boundedString.default(''),
    /** False omits the sections, to read only the revision. */
    sections: z.boolean().default(true),
  }),
  [AdminQuery.Status]: z.object({}),
  [AdminQuery.Endpoints]: z.object({ path: boundedString.default('') }),
  [AdminQuery.Drain]: z.object({
    /** Path of one endpoint. */
    path: boundedString,
    /** Deadline for moving its work to other endpoints, in epoch milliseconds. */
    deadlineAtMs: z.number(),
  }),
  [AdminQuery.Jobs]: z.object({
    id: boundedString.optional(),
    workspaceId: boundedString.optional(),
    state: z.enum(WorkState).optional(),
    limit: z.number().int().min(1).max(10_000).default(200),
  }),
  [AdminQuery.Explain]: z.object({ requestId: boundedString }),
  [AdminQuery.Burn]: z.object({
    workspaceId: boundedString.optional(),
    serviceId: boundedString.optional(),
  }),
} as const;

/** Schemas of one daemon's answer to each query. */
export const queryAnswers = {
  [AdminQuery.SettingsInForce]: settingsInForceSchema,
  [AdminQuery.Status]: daemonStatusSchema,
  [AdminQuery.Endpoints]: z.array(endpointStatusSchema),
  [AdminQuery.Drain]: drainResultSchema,
  [AdminQuery.Jobs]: z.array(workItemSchema),
  [AdminQuery.Explain]: explanationSchema.nullable(),
  [AdminQuery.Burn]: burnSnapshotSchema,
} as const;

/** Validated parameters of a query. */
export type QueryParams<Q extends AdminQuery> = z.output<(typeof queryParams)[Q]>;

/** One daemon's answer to a query. */
export type QueryAnswer<Q extends AdminQuery> = z.output<(typeof queryAnswers)[Q]>;
