/** The configuration file of the stand-ins' process, checked by zod. */
import { z } from 'zod';
import { engineSizesSchema, vmSchema } from './control.js';
import type { StandinsOptions } from './startStandins.js';

const listenSchema = z.strictObject({
  address: z.string().optional(),
  port: z.int().min(0).optional(),
});

const port = z.int().min(0).optional();

const platformSchema = z.strictObject({
  listen: z
    .strictObject({
      address: z.string().optional(),
      tablePort: port,
      objectStorePort: port,
      vmListPort: port,
      raterPort: port,
      weightStorePort: port,
    })
    .optional(),
  table: z
    .strictObject({
      writesPerSecond: z.number().positive().optional(),
      readsPerSecond: z.number().positive().optional(),
      burstSeconds: z.number().positive().optional(),
    })
    .optional(),
  vmList: z
    .strictObject({ vms: z.array(vmSchema).optional(), lagMs: z.number().min(0).optional() })
    .optional(),
  rater: z
    .strictObject({
      seed: z.int().optional(),
      means: z.record(z.string(), z.record(z.string(), z.number().min(0).max(1))).optional(),
      difficultySpread: z.number().min(0).optional(),
      noise: z.number().min(0).optional(),
      subtleLoss: z.number().min(0).optional(),
      ratingDelayMs: z.number().min(0).optional(),
      ratingDelaySpreadMs: z.number().min(0).optional(),
      ratingLossRate: z.number().min(0).max(1).optional(),
    })
    .optional(),
  weightStore: z
    .strictObject({
      readsPerSecond: z.number().positive().optional(),
      burst: z.number().min(1).optional(),
      sizeBytes: z.record(z.string(), z.number().positive()).optional(),
    })
    .optional(),
});

const engineSchema = z.strictObject({
  ...engineSizesSchema.shape,
  name: z.string(),
  listen: listenSchema.optional(),
  versions: z.array(z.string()),
  checksFences: z.boolean().optional(),
  refusesWhenLeaving: z.boolean().optional(),
  recordsStreams: z.boolean().optional(),
});

const serviceSchema = z.strictObject({
  name: z.string(),
  listen: listenSchema.optional(),
  workMs: z.number().min(0).optional(),
  maxRunning: z.int().min(1).optional(),
  checksFences: z.boolean().optional(),
  refusesWhenLeaving: z.boolean().optional(),
  onceOnlyPaths: z.array(z.string()).optional(),
  recordsRuns: z.boolean().optional(),
});

/** The file's form; the same as {@link StandinsOptions} without functions. */
export const standinsConfigSchema = z.strictObject({
  seed: z.int().optional(),
  platform: z.union([platformSchema, z.literal(false)]).optional(),
  engines: z.array(engineSchema).optional(),
  services: z.array(serviceSchema).optional(),
});

/** Checks the text of a configuration file; throws where it is wrong. */
export const restoreStandinsConfig = (text: string): StandinsOptions =>
  standinsConfigSchema.parse(JSON.parse(text));
