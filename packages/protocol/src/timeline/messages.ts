/** Messages that collect the time line of all daemons. */
import { z } from 'zod';
import type { TimelineEvent, TimelineQuery } from '@snipehaven/timeline';

export const timelineQuerySchema = z.object({
  sinceMs: z.number().optional(),
  requestId: z.string().optional(),
  version: z.string().optional(),
  team: z.string().optional(),
  types: z.array(z.string()).optional(),
  limit: z.number().optional(),
});

export interface TimelineHandlers {
  listEvents(message: TimelineQuery): Promise<{ readonly events: readonly TimelineEvent[] }>;
}
