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

/** Names of the questions that go to every daemon; also the names of the RPC methods. */
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
    /** False leaves the sections out, for a look at the revision only. */
    sections: z.boolean().default(true),
  }),
  [AdminQuery.Status]: z.object({}),
  [AdminQuery.Endpoints]: z.object({ path: boundedString.default('') }),
  [AdminQuery.Drain]: z.object({
    /** Path of one endpoint. */
    path: boundedString,
    /** Epoch milliseconds by which its work is to be moved away. */
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

/** Parameters of a query, as checked. */
export type QueryParams<Q extends AdminQuery> = z.output<(typeof queryParams)[Q]>;

/** One daemon's answer to a query. */
export type QueryAnswer<Q extends AdminQuery> = z.output<(typeof queryAnswers)[Q]>;
