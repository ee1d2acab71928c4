/** The kinds of resource that operators declare, as schemas with a description for each field. */
import { z } from 'zod';
import { DEFAULT_PRIORITY } from './constants.js';
import {
  allowedVersionField,
  fractionField,
  httpUrlField,
  nameField,
  priorityField,
  sha256Field,
  versionNameField,
} from './fields.js';

const taskSchema = z.strictObject({
  qualityTarget: fractionField.describe('Mean rating that answers of this task must reach.'),
  isStrict: z
    .boolean()
    .default(false)
    .describe('Strict tasks never explore and never run on an unproven version.'),
});

export const teamSpecSchema = z.strictObject({
  keys: z
    .array(z.strictObject({ name: nameField, sha256: sha256Field }))
    .min(1)
    .describe('Keys of the callers, as SHA-256 of the key; several allow rotation.'),
  allowedVersions: z
    .array(allowedVersionField)
    .describe('Versions the team may use: model@version or model@* for all of a model.'),
  allowedServices: z.array(nameField).default([]).describe('Plain services the team may call.'),
  qualityTarget: fractionField.describe('Quality target of tasks not listed under tasks.'),
  tasks: z
    .record(nameField, taskSchema)
    .default({})
    .describe('Targets of single tasks, named by the x-snipehaven-task header.'),
  weights: z
    .strictObject({
      cost: fractionField.default(0.5),
      latency: fractionField.default(0.3),
      exposure: fractionField.default(0.2),
    })
    .prefault({})
    .describe('What the team weighs: cost at the target, latency, exposure to bad versions.'),
  allowsCascade: z
    .boolean()
    .default(true)
    .describe(
      'Whether a cheap answer may be rated and, below the target, replaced by a dearer one.',
    ),
  allowsExploration: z
    .boolean()
    .default(true)
    .describe('Whether a small share of requests may try versions with little evidence.'),
  limits: z
    .strictObject({
      requestsPerSecond: z.number().positive().default(100),
      burst: z.number().positive().default(200),
      concurrency: z.int().positive().default(64),
      spendMicroUsdPerDay: z.int().positive().default(1_000_000_000),
    })
    .prefault({})
    .describe('Limits over all daemons together.'),
  priority: priorityField.default(DEFAULT_PRIORITY).describe('Default priority, 0 lowest to 9.'),
  weight: z.number().positive().default(1).describe('Share of the team under overload.'),
});

export const modelSpecSchema = z.strictObject({
  description: z.string().default('').describe('For people.'),
});

export const modelVersionSpecSchema = z.strictObject({
  inputMicroUsdPerMillionTokens: z.number().nonnegative().describe('Price of prompt tokens.'),
  outputMicroUsdPerMillionTokens: z.number().nonnegative().describe('Price of answer tokens.'),
  priorQuality: fractionField.default(0.5).describe('Expected rating before evidence arrives.'),
  priorQualityByTask: z.record(nameField, fractionField).default({}),
  priorWeight: z
    .number()
    .nonnegative()
    .default(2)
    .describe('How many ratings the prior quality counts for.'),
  maxContextTokens: z.int().positive().default(128_000),
});

export const upstreamSpecSchema = z.strictObject({
  dataCentre: nameField.describe('Where the upstream stands.'),
  type: z.enum(['engine', 'service']),
  url: httpUrlField.describe('Base URL with an IP number.'),
  maxConcurrency: z.int().positive().default(32).describe('Requests it takes at a time.'),
  checksFence: z
    .boolean()
    .default(false)
    .describe('Whether it refuses orders that carry an old fencing number.'),
  versions: z.array(versionNameField).default([]).describe('Versions an engine serves.'),
  service: nameField.optional().describe('The plain service that it serves.'),
});

export const serviceSpecSchema = z.strictObject({
  operations: z
    .array(
      z.strictObject({
        method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
        pathPrefix: z.string().startsWith('/'),
        isIdempotent: z.boolean(),
      }),
    )
    .describe('First match wins; an unlisted operation is refused.'),
  timeoutMs: z.int().positive().default(10_000),
  costMicroUsdPerCall: z.number().nonnegative().default(0),
});

export const rolloutSpecSchema = z.strictObject({
  model: nameField,
  stableVersion: versionNameField,
  candidateVersion: versionNameField,
  stages: z
    .array(
      z.strictObject({
        sharePct: z.number().positive().max(100).describe('Share of new sessions and requests.'),
        minRatings: z.int().nonnegative().default(20).describe('Ratings before the next stage.'),
      }),
    )
    .min(1)
    .describe('Stages in order; the last one should be 100.'),
  exposureBudget: z
    .int()
    .positive()
    .default(20)
    .describe('Unrated answers of the candidate that may be out at a time, over all daemons.'),
  maxFailureIncreasePct: z
    .number()
    .positive()
    .default(0.6)
    .describe('Worsening of the mean rating, in points of a hundred, that lets a stage pass.'),
  isPaused: z.boolean().default(false),
});

export const withdrawalSpecSchema = z.strictObject({
  isWithdrawn: z.boolean().default(true).describe('False lifts the withdrawal.'),
  reason: z.string().default(''),
});

/** All kinds with the schema of their specs. A withdrawal is named by its version. */
export const kindSchemas = {
  Team: teamSpecSchema,
  Model: modelSpecSchema,
  ModelVersion: modelVersionSpecSchema,
  Upstream: upstreamSpecSchema,
  Service: serviceSpecSchema,
  Rollout: rolloutSpecSchema,
  Withdrawal: withdrawalSpecSchema,
} as const;

export type Kind = keyof typeof kindSchemas;

/** All kinds, in the order in which `snipectl` shows them. */
export const kinds = Object.keys(kindSchemas) as readonly Kind[];

/** The spec of a kind, defaults filled in. */
export type Spec<K extends Kind> = z.infer<(typeof kindSchemas)[K]>;

/** Kinds whose names are `model@version` instead of plain names. */
export const versionNamedKinds: ReadonlySet<Kind> = new Set(['ModelVersion', 'Withdrawal']);

export type TeamSpec = Spec<'Team'>;
export type ModelVersionSpec = Spec<'ModelVersion'>;
export type UpstreamSpec = Spec<'Upstream'>;
export type ServiceSpec = Spec<'Service'>;
export type RolloutSpec = Spec<'Rollout'>;
export type WithdrawalSpec = Spec<'Withdrawal'>;
