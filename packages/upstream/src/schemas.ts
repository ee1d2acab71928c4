/** The forms of the engines' answers, checked as they come in. */
import { z } from 'zod';

export const streamStateSchema = z.object({
  state: z.enum(['running', 'finished', 'cancelled']),
  promptTokens: z.number(),
  completionTokens: z.number(),
  chunks: z.number(),
});

/** The body of a 404 for a stream. */
export const unknownStreamSchema = z.object({ bootMs: z.number() });

export const loadSchema = z.object({
  atMs: z.number(),
  running: z.number(),
  queued: z.number(),
  kvUsedPct: z.number(),
  versions: z.array(z.string()),
  leaving: z.boolean(),
});

export const cacheEventsSchema = z.object({
  events: z.array(
    z.object({ seq: z.number(), kind: z.enum(['added', 'evicted']), prefix: z.string() }),
  ),
  lastSeq: z.number(),
});
