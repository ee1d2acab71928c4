/** Messages that keep a copy of usage records on a peer. */
import { z } from 'zod';

/** One run at an engine, with what its tokens cost. */
export const usageStreamSchema = z.object({
  streamId: z.string(),
  upstream: z.string(),
  upstreamUrl: z.string(),
  version: z.string(),
  inputMicroUsdPerMillionTokens: z.number(),
  outputMicroUsdPerMillionTokens: z.number(),
});

export type UsageStream = z.infer<typeof usageStreamSchema>;

/** A record of an admitted request that is not settled yet. */
export const openUsageSchema = z.object({
  requestId: z.string(),
  requestKey: z.string(),
  team: z.string(),
  teamUid: z.string(),
  openedAtMs: z.number(),
  streams: z.array(usageStreamSchema),
  /** Whose request it is, where another daemon passes its copy on; absent: the sender's own. */
  ownedBy: z.string().optional(),
});

export type OpenUsage = z.infer<typeof openUsageSchema>;

export const usageLineSchema = z.object({
  streamId: z.string(),
  version: z.string(),
  upstream: z.string(),
  promptTokens: z.number(),
  completionTokens: z.number(),
  costMicroUsd: z.number(),
});

export type UsageLine = z.infer<typeof usageLineSchema>;

/** A settled record: what the ledger keeps. */
export const usageEntrySchema = z.object({
  requestId: z.string(),
  requestKey: z.string(),
  team: z.string(),
  teamUid: z.string(),
  openedAtMs: z.number(),
  settledAtMs: z.number(),
  /** `answered`: whole; `partial`: cut, with what was delivered; `unanswered`: ran, nothing delivered. */
  outcome: z.enum(['answered', 'partial', 'unanswered']),
  lines: z.array(usageLineSchema),
  costMicroUsd: z.number(),
  settledBy: z.string(),
  isAdopted: z.boolean(),
});

export type UsageEntry = z.infer<typeof usageEntrySchema>;

/**
 * What changed in the owner's records since its last message. What goes wrong without `seq`: a message that
 * timed out arrives after later ones and opens records anew that were forgotten, and an adopter would
 * ask for them once more. The peer drops any message whose `seq` is not above the last.
 */
export const replicateUsageSchema = z.object({
  /** The incarnation of the owner's process. */
  owner: z.string(),
  /** The incarnation that is meant: a new daemon at a dead one's address refuses the message. */
  peer: z.string(),
  /** The incarnation of the owner's ledger: whose cursor an adopter closes. */
  ledger: z.string(),
  /** Rises with each message of the owner, to whichever peer. */
  seq: z.number(),
  /** The peer drops what it held of the owner before: the copy begins anew. */
  isFull: z.boolean(),
  opened: z.array(openUsageSchema),
  settled: z.array(usageEntrySchema),
  /** Records that the peer may forget: flushed, or nothing ran. */
  forgotten: z.array(z.string()),
});

export type ReplicateUsage = z.infer<typeof replicateUsageSchema>;

export interface UsageHandlers {
  /** Resolves with the count of the owner's records held now, from which the owner sees a lost copy. */
  replicate(message: ReplicateUsage): Promise<{ readonly held: number }>;
}
