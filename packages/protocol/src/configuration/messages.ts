/** Messages that spread the configuration and safe moves. */
import { z } from 'zod';

/** A change as it travels; the resource is checked again by the configuration package. */
export const changeSchema = z.object({
  revision: z.number(),
  kind: z.string(),
  name: z.string(),
  resource: z.unknown().optional(),
});

export type ChangeMessage = z.infer<typeof changeSchema>;

/** A safe move: a mark that only a higher generation changes. */
export const safeMoveSchema = z.object({
  /** `withdraw`, `quarantine`, `drain` … with its subject, such as `withdraw/small@3`. */
  key: z.string(),
  generation: z.number(),
  isActive: z.boolean(),
  reason: z.string(),
  by: z.string(),
  atMs: z.number(),
});

export type SafeMove = z.infer<typeof safeMoveSchema>;

/** Safe moves as they travel. */
export const safeMoveBatchSchema = z.object({
  moves: z.array(safeMoveSchema),
  /** Keys of those moves that are known to be in the table. */
  durableKeys: z.array(z.string()),
});

export type SafeMoveBatch = z.infer<typeof safeMoveBatchSchema>;

/** How many daemons report a revision applied. */
const revisionCountSchema = z.object({ revision: z.number(), count: z.number() });

/** What the daemons of one data centre report applied. */
export const dataCentreReportSchema = z.object({
  dataCentre: z.string(),
  /** Age of the report when it was sent, so that no clocks need agree. */
  ageMs: z.number().nonnegative(),
  /** By falling revision; the last one stands for all below it too. */
  counts: z.array(revisionCountSchema),
  /** Some incarnations that are behind. */
  behind: z.array(z.string()),
});

export type DataCentreReport = z.infer<typeof dataCentreReportSchema>;

/** Changes in order of revision, pushed as soon as they are accepted. */
export const pushChangesSchema = z.object({
  /** Address of the sender, from which the receiver fetches what it lacks. */
  from: z.string(),
  changes: z.array(changeSchema),
  /** Whether the receiver passes them on within its data centre. */
  isRelay: z.boolean(),
});

export type PushChanges = z.infer<typeof pushChangesSchema>;

export const pushedChangesSchema = z.object({
  appliedRevision: z.number(),
  /** A relay's answer tells of its whole data centre. */
  report: dataCentreReportSchema.optional(),
});

export type PushedChanges = z.infer<typeof pushedChangesSchema>;

export const fetchChangesSchema = z.object({
  afterRevision: z.number(),
  /** Asks for all safe moves too; set by a booting daemon. */
  withSafeMoves: z.boolean().optional(),
});

export type FetchChanges = z.infer<typeof fetchChangesSchema>;

const fetchedBaseSchema = z.object({
  /** Highest revision that the peer has heard of. */
  headRevision: z.number(),
  safeMoves: safeMoveBatchSchema.optional(),
});

/** Changes after the asked revision, or a whole snapshot where history is gone. */
export const fetchedChangesSchema = z.discriminatedUnion('kind', [
  fetchedBaseSchema.extend({ kind: z.literal('changes'), changes: z.array(changeSchema) }),
  fetchedBaseSchema.extend({
    kind: z.literal('snapshot'),
    revision: z.number(),
    resources: z.array(z.unknown()),
  }),
]);

export type FetchedChanges = z.infer<typeof fetchedChangesSchema>;

/** The gossip about revisions. */
export const revisionGossipSchema = z.object({
  revision: z.number(),
  headRevision: z.number(),
  hasConfiguration: z.boolean(),
  /** Since the sender or anyone it heard from last reached the table; absent: never. */
  tableAgeMs: z.number().nonnegative().optional(),
  /** Applied revisions of daemons of the sender's data centre, by short tags of incarnations. */
  applied: z.array(z.object({ revision: z.number(), tags: z.array(z.string()) })),
  reports: z.array(dataCentreReportSchema),
});

export type RevisionGossip = z.infer<typeof revisionGossipSchema>;

/** The gossip about safe moves: equal digests mean that both know the same. */
export const safeMoveGossipSchema = z.object({
  digest: z.string(),
  /** Those changed lately. */
  recent: safeMoveBatchSchema.optional(),
});

export type SafeMoveGossip = z.infer<typeof safeMoveGossipSchema>;

export const pushSafeMovesSchema = safeMoveBatchSchema.extend({
  /** Whether the receiver passes them on within its data centre. */
  isRelay: z.boolean(),
});

export type PushSafeMoves = z.infer<typeof pushSafeMovesSchema>;

export interface ConfigurationHandlers {
  pushChanges(message: PushChanges): Promise<PushedChanges>;
  /** Rejects while the daemon has no configuration itself. */
  fetchChanges(message: FetchChanges): Promise<FetchedChanges>;
  pushSafeMoves(message: PushSafeMoves): Promise<{ readonly accepted: number }>;
}
