/** Messages that spread evidence about versions and the state of roll-outs. */
import { z } from 'zod';

const countSchema = z.number().int().nonnegative();

/**
 * Counters of one source, as a tuple to save bytes: cell key, source, epoch, era, and index and value
 * of each counter that is not zero, in turn.
 */
export const shareTupleSchema = z.tuple([
  z.string(),
  z.string(),
  countSchema,
  countSchema,
  z.array(countSchema),
]);

export type ShareTuple = z.infer<typeof shareTupleSchema>;

export const evidenceGossipSchema = z.object({
  shares: z.array(shareTupleSchema),
  /** Published ratings up to this number were handed out to those who had asked for them. */
  ratedSeq: countSchema.optional(),
});

export type EvidenceGossip = z.infer<typeof evidenceGossipSchema>;

/** The state of a roll-out as its holder wrote it to the table. */
export const rolloutProgressSchema = z.object({
  rolloutId: z.string(),
  phase: z.enum(['shadow', 'running', 'quarantined', 'finished']),
  stage: countSchema,
  stageStartedAtMs: z.number(),
  ratingsAtStageStart: z.number(),
  fence: countSchema,
});

export type RolloutProgressMessage = z.infer<typeof rolloutProgressSchema>;

/** Roll-out, incarnation, fence, number of the plan, granted count, share in percent. */
export const grantTupleSchema = z.tuple([
  z.string(),
  z.string(),
  countSchema,
  countSchema,
  countSchema,
  z.number().nonnegative(),
]);

export type GrantTuple = z.infer<typeof grantTupleSchema>;

/** Roll-out, incarnation, granted count, exposed count, judged count. */
export const exposureTupleSchema = z.tuple([
  z.string(),
  z.string(),
  countSchema,
  countSchema,
  countSchema,
]);

export type ExposureTuple = z.infer<typeof exposureTupleSchema>;

/** Roll-out, source, and index and value of each pair bin that is not zero, in turn. */
export const pairTupleSchema = z.tuple([z.string(), z.string(), z.array(countSchema)]);

export type PairTuple = z.infer<typeof pairTupleSchema>;

export const rolloutGossipSchema = z.object({
  progress: z.array(rolloutProgressSchema).optional(),
  grants: z.array(grantTupleSchema).optional(),
  exposures: z.array(exposureTupleSchema).optional(),
  pairs: z.array(pairTupleSchema).optional(),
});

export type RolloutGossip = z.infer<typeof rolloutGossipSchema>;

/** Published scores of answers that the receiver had handed to the rater. */
export const deliverScoresSchema = z.object({
  scores: z.array(z.object({ id: z.string(), score: z.number().min(0).max(1) })),
});

export type DeliverScores = z.infer<typeof deliverScoresSchema>;

export interface EvidenceHandlers {
  deliverScores(message: DeliverScores): Promise<{ readonly counted: number }>;
}
