/** The forms of the platform's answers, checked as they come in. */
import { z } from 'zod';

const rowSchema = z.object({ key: z.string(), value: z.unknown(), version: z.number() });
const versionSchema = z.object({ key: z.string(), version: z.number() });

export const rowsSchema = z.object({ rows: z.array(rowSchema) });

export const resultsSchema = z.object({
  results: z.array(
    z.discriminatedUnion('kind', [
      z.object({ kind: z.literal('committed'), versions: z.array(versionSchema) }),
      z.object({ kind: z.literal('conflict'), rows: z.array(rowSchema) }),
    ]),
  ),
});

export const namesSchema = z.object({ names: z.array(z.string()) });

export const vmsSchema = z.object({
  vms: z.array(
    z.object({
      name: z.string(),
      role: z.enum(['entry', 'upstream']),
      dataCentre: z.string(),
      address: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

export const scoreSchema = z.object({ score: z.number().min(0).max(1) });

export const ratingsSchema = z.object({
  ratings: z.array(
    z.object({
      seq: z.number(),
      id: z.string(),
      team: z.string(),
      task: z.string(),
      version: z.string(),
      score: z.number(),
    }),
  ),
  lastSeq: z.number(),
});

export const weightsSchema = z.object({ bytes: z.number() });
