/** Messages about the pins of callers' own session ids. */
import { z } from 'zod';

export const pinSchema = z.object({
  teamUid: z.string(),
  session: z.string(),
  model: z.string(),
  version: z.string(),
  startedAtMs: z.number(),
  /** Raised by each move; the higher one wins. */
  generation: z.number(),
});

export type Pin = z.infer<typeof pinSchema>;

export const getPinSchema = z.object({
  teamUid: z.string(),
  session: z.string(),
  /** Answer from memory alone, without asking further holders or the table. */
  isLocalOnly: z.boolean().optional(),
});

export type GetPin = z.infer<typeof getPinSchema>;

export const putPinSchema = z.object({
  pin: pinSchema,
  /** A copy to merge and hold; otherwise an offer that the receiver decides on as the owner. */
  isReplica: z.boolean(),
});

export type PutPin = z.infer<typeof putPinSchema>;

export interface SessionHandlers {
  getPin(message: GetPin): Promise<{ readonly pin?: Pin | undefined }>;
  /** Resolves with the pin in force; of offers of equal generation the first one stays. */
  putPin(message: PutPin): Promise<{ readonly pin: Pin }>;
}
