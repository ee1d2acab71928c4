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

/** Changes in order of revision, pushed as soon as they are accepted. */
export const pushChangesSchema = z.object({
  changes: z.array(changeSchema),
  /** Whether the receiver passes them on within its data centre. */
  isRelay: z.boolean(),
});

export type PushChanges = z.infer<typeof pushChangesSchema>;

export const fetchChangesSchema = z.object({ afterRevision: z.number() });

export type FetchChanges = z.infer<typeof fetchChangesSchema>;

/** Changes after the asked revision, or a whole snapshot where history is gone. */
export const fetchedChangesSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('changes'), changes: z.array(changeSchema) }),
  z.object({ kind: z.literal('snapshot'), revision: z.number(), resources: z.array(z.unknown()) }),
]);

export type FetchedChanges = z.infer<typeof fetchedChangesSchema>;

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

export const pushSafeMovesSchema = z.object({
  moves: z.array(safeMoveSchema),
  isRelay: z.boolean(),
});

export type PushSafeMoves = z.infer<typeof pushSafeMovesSchema>;

export interface ConfigurationHandlers {
  pushChanges(message: PushChanges): Promise<{ readonly appliedRevision: number }>;
  fetchChanges(message: FetchChanges): Promise<FetchedChanges>;
  pushSafeMoves(message: PushSafeMoves): Promise<{ readonly accepted: number }>;
}
