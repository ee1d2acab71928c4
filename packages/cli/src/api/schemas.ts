/** The gate that answers of the API come through. Unknown fields pass, for newer daemons add some. */
import { z } from 'zod';

export const conditionSchema = z.looseObject({
  type: z.string(),
  status: z.enum(['true', 'false', 'unknown']),
  message: z.string(),
});

export const inForceSchema = z.looseObject({
  revision: z.number(),
  totalDaemons: z.number(),
  appliedDaemons: z.number(),
  minRevision: z.number(),
  behind: z.array(z.string()),
});

export const resourceSchema = z.looseObject({
  kind: z.string(),
  metadata: z.looseObject({
    name: z.string(),
    uid: z.string(),
    resourceVersion: z.number(),
    generation: z.number(),
    createdAtMs: z.number(),
    updatedAtMs: z.number(),
  }),
  spec: z.record(z.string(), z.unknown()),
  status: z.looseObject({
    observedGeneration: z.number(),
    conditions: z.array(conditionSchema),
    inForce: inForceSchema.optional(),
    durability: z.string().optional(),
  }),
});

export const resourceListSchema = z.looseObject({
  revision: z.number(),
  resources: z.array(resourceSchema),
});

export const differenceSchema = z.looseObject({
  path: z.string(),
  present: z.unknown().optional(),
  sent: z.unknown().optional(),
});

export const applyReplySchema = z.looseObject({
  action: z.enum(['created', 'changed', 'unchanged']),
  isDryRun: z.boolean(),
  resource: resourceSchema,
  differences: z.array(differenceSchema),
});

export const removeReplySchema = z.looseObject({ revision: z.number() });

export const safeMoveSchema = z.looseObject({
  key: z.string(),
  generation: z.number(),
  isActive: z.boolean(),
  reason: z.string(),
  by: z.string(),
  atMs: z.number(),
});

export const safeMoveStatusSchema = z.looseObject({
  move: safeMoveSchema,
  durability: z.enum(['durable', 'notDurableYet']),
});

export const safeMoveReplySchema = safeMoveStatusSchema.extend({ isKnownSubject: z.boolean() });

export const drainReplySchema = z.looseObject({
  type: z.enum(['vm', 'upstream']),
  target: z.string(),
});

export const statusSchema = z.looseObject({
  vm: z.string(),
  dataCentre: z.string(),
  revision: z.number(),
  headRevision: z.number(),
  isStale: z.boolean(),
  inForce: inForceSchema,
  conditions: z.array(conditionSchema),
  safeMoves: z.array(safeMoveStatusSchema),
});

export const memberSchema = z.looseObject({
  vm: z.string(),
  dataCentre: z.string(),
  address: z.string(),
  incarnation: z.string(),
  state: z.string(),
  isSelf: z.boolean(),
  isBehind: z.boolean(),
});

export const memberListSchema = z.looseObject({ members: z.array(memberSchema) });

export const rolloutStatusSchema = z.looseObject({
  name: z.string(),
  model: z.string(),
  stableVersion: z.string(),
  candidateVersion: z.string(),
  phase: z.string(),
  stage: z.number(),
  stageCount: z.number(),
  sharePct: z.number(),
  stageRatings: z.number(),
  minRatings: z.number(),
  exposedCount: z.number(),
  unjudgedCount: z.number(),
  exposureBudget: z.number(),
  candidateRating: z.number().optional(),
  stableRating: z.number().optional(),
  reason: z.string(),
});

export const rolloutListSchema = z.looseObject({ rollouts: z.array(rolloutStatusSchema) });

export const fieldDocSchema = z.looseObject({
  path: z.string(),
  type: z.string(),
  isRequired: z.boolean(),
  description: z.string(),
  default: z.unknown().optional(),
  rules: z.array(z.string()),
});

export const explainSchema = z.looseObject({ kind: z.string(), fields: z.array(fieldDocSchema) });

export const billingRowSchema = z.looseObject({
  team: z.string(),
  version: z.string(),
  requests: z.number(),
  promptTokens: z.number(),
  completionTokens: z.number(),
  costMicroUsd: z.number(),
});

export const billingSchema = z.looseObject({ rows: z.array(billingRowSchema) });

export const eventSchema = z.looseObject({
  at: z.object({ wallMs: z.number(), counter: z.number() }),
  vm: z.string(),
  dataCentre: z.string(),
  incarnation: z.string(),
  seq: z.number(),
  type: z.string(),
  subject: z.looseObject({}),
  detail: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});

export const timelineSchema = z.looseObject({
  events: z.array(eventSchema),
  unreachable: z.array(z.string()),
});

export const usageEntrySchema = z.looseObject({
  outcome: z.string(),
  costMicroUsd: z.number(),
  isAdopted: z.boolean(),
  settledBy: z.string(),
  lines: z.array(
    z.looseObject({
      version: z.string(),
      upstream: z.string(),
      promptTokens: z.number(),
      completionTokens: z.number(),
      costMicroUsd: z.number(),
    }),
  ),
});

export const requestSchema = z.looseObject({
  requestId: z.string(),
  team: z.string(),
  session: z.string().optional(),
  vms: z.array(z.string()),
  plan: z.string(),
  attempts: z.array(
    z.looseObject({
      version: z.string(),
      upstream: z.string(),
      startedAtMs: z.number(),
      outcome: z.string(),
    }),
  ),
  verdict: z.string(),
  bill: usageEntrySchema.optional(),
  events: z.array(eventSchema),
  unreachable: z.array(z.string()),
});

export const latencyRowSchema = z.looseObject({
  team: z.string(),
  version: z.string(),
  answers: z.number(),
  firstTokenP50Ms: z.number(),
  firstTokenP95Ms: z.number(),
  totalP50Ms: z.number(),
  totalP95Ms: z.number(),
});

export const latencyListSchema = z.looseObject({ latency: z.array(latencyRowSchema) });

export const reportSeriesSchema = z.looseObject({
  name: z.string(),
  requests: z.array(z.number()),
  costMicroUsd: z.array(z.number()),
});

export const reportSchema = z.looseObject({
  generatedAtMs: z.number(),
  fromMs: z.number(),
  untilMs: z.number(),
  bucketMs: z.number(),
  billing: z.array(billingRowSchema),
  teams: z.array(reportSeriesSchema),
  versions: z.array(reportSeriesSchema),
  latency: z.array(latencyRowSchema),
  rollouts: z.array(rolloutStatusSchema),
  blockedVersions: z.array(z.string()),
});

export const watchLineSchema = z.discriminatedUnion('type', [
  z.looseObject({
    type: z.literal('change'),
    revision: z.number(),
    kind: z.string(),
    name: z.string(),
    resource: z.looseObject({ metadata: z.looseObject({ generation: z.number() }) }).optional(),
  }),
  z.looseObject({ type: z.literal('safeMove'), revision: z.number(), move: safeMoveSchema }),
  z.looseObject({ type: z.literal('bookmark'), revision: z.number() }),
]);

export type ResourceReply = z.infer<typeof resourceSchema>;
export type ApplyReply = z.infer<typeof applyReplySchema>;
export type SafeMoveReply = z.infer<typeof safeMoveReplySchema>;
export type StatusReply = z.infer<typeof statusSchema>;
export type MemberReply = z.infer<typeof memberSchema>;
export type RolloutStatus = z.infer<typeof rolloutStatusSchema>;
export type RequestReply = z.infer<typeof requestSchema>;
export type ReportReply = z.infer<typeof reportSchema>;
export type ReportSeries = z.infer<typeof reportSeriesSchema>;
export type BillingRow = z.infer<typeof billingRowSchema>;
export type LatencyRow = z.infer<typeof latencyRowSchema>;
export type FieldDoc = z.infer<typeof fieldDocSchema>;
export type WatchLine = z.infer<typeof watchLineSchema>;
export type TimelineReply = z.infer<typeof timelineSchema>;
export type SafeMoveKind = 'withdraw' | 'quarantine' | 'drain' | 'evacuate';
