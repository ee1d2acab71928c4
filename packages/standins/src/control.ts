/** Bodies of `POST /control`, checked by zod. Every stand-in takes {@link commonControlSchema}. */
import { z } from 'zod';
import type { FaultGate } from './faultGate.js';
import type { EdgeCall, StandinServer } from './httpEdge.js';
import { pickGiven } from './pickGiven.js';

const rate = z.number().min(0).max(1);
const durationMs = z.number().min(0);

/** Faults of any stand-in; see {@link FaultGate}. */
export const gateFaultsSchema = z
  .strictObject({
    isDown: z.boolean(),
    errorRate: rate,
    delayMs: durationMs,
    delaySpreadMs: durationMs,
    replyDelayMs: durationMs,
    requestLossRate: rate,
    replyLossRate: rate,
    loseNextReplies: z.int().min(0),
    lossKind: z.enum(['broken', 'silent']),
    cutClients: z.array(z.string()),
  })
  .partial();

/** What every stand-in can be told. */
export const commonControlSchema = z.strictObject({
  /** Back to no faults, before the ones given here are set. */
  clearFaults: z.boolean().optional(),
  faults: gateFaultsSchema.optional(),
  /** What to do to the connections open now. */
  connections: z.enum(['silence', 'break']).optional(),
});

export type CommonControl = z.infer<typeof commonControlSchema>;

export const tableControlSchema = commonControlSchema.extend({
  rates: z
    .strictObject({ writesPerSecond: z.number().positive(), readsPerSecond: z.number().positive() })
    .optional(),
});

/** Speeds and sizes of an engine; see `EngineSizes`. */
export const engineSizesSchema = z
  .strictObject({
    tokenMs: durationMs,
    tokenMsPerRunning: durationMs,
    prefillMsPerToken: durationMs,
    chunkTokens: z.int().min(1),
    maxRunning: z.int().min(1),
    maxQueued: z.int().min(0),
    kvTokens: z.int().min(1),
    cacheTokens: z.int().min(0),
    cacheEventDelayMs: durationMs,
    cacheEventLossRate: rate,
    loadPeriodMs: durationMs,
    versionLoadMs: durationMs,
    keepStreamMs: durationMs,
  })
  .partial();

export const engineControlSchema = commonControlSchema.extend({
  engineFaults: z
    .strictObject({
      isRefusing: z.boolean(),
      refuseRate: rate,
      refuseStatus: z.union([z.literal(429), z.literal(503)]),
      crashRate: rate,
      crashNext: z.int().min(0),
      dropRate: rate,
      dropNext: z.int().min(0),
      versionFaults: z.record(
        z.string(),
        z.strictObject({
          kind: z.enum(['gross', 'empty', 'subtle', 'slow']),
          share: rate.default(1),
          slowFactor: z.number().min(1).default(10),
        }),
      ),
    })
    .partial()
    .optional(),
  sizes: engineSizesSchema.optional(),
  leaving: z.boolean().optional(),
  /** All running streams die. */
  crashStreams: z.boolean().optional(),
  /** The engine dies and comes back: streams die and are forgotten, connections break. */
  restart: z.boolean().optional(),
});

export const serviceControlSchema = commonControlSchema.extend({
  serviceFaults: z
    .strictObject({ isRefusing: z.boolean(), refuseRate: rate, failRate: rate })
    .partial()
    .optional(),
  sizes: z
    .strictObject({ workMs: durationMs, maxRunning: z.int().min(1) })
    .partial()
    .optional(),
  leaving: z.boolean().optional(),
});

export const vmSchema = z.strictObject({
  name: z.string(),
  role: z.enum(['entry', 'upstream']),
  dataCentre: z.string(),
  address: z.string(),
  state: z.enum(['live', 'leaving']),
});

export const vmListControlSchema = commonControlSchema.extend({
  lagMs: durationMs.optional(),
  /** Replaces the whole list. */
  vms: z.array(vmSchema).optional(),
  putVm: vmSchema.optional(),
  /** The name of a VM that is gone. */
  removeVm: z.string().optional(),
});

export const raterControlSchema = commonControlSchema.extend({
  delays: z
    .strictObject({ ratingDelayMs: durationMs, ratingDelaySpreadMs: durationMs.default(0) })
    .optional(),
  ratingLossRate: rate.optional(),
});

export const weightStoreControlSchema = commonControlSchema.extend({
  readsPerSecond: z.number().positive().optional(),
});

/** Applies what every stand-in understands. */
export const applyCommonControl = (
  control: CommonControl,
  gate: FaultGate,
  server: StandinServer,
  call: EdgeCall,
): void => {
  if (control.clearFaults) {
    gate.clearFaults();
  }
  if (control.faults) {
    gate.setFaults(pickGiven(control.faults));
  }
  if (control.connections) {
    server.faultConnections(control.connections, call.request.socket);
  }
};
