/** Messages by which daemons of a data centre ask for their shares of the teams' limits. */
import { z } from 'zod';

const countSchema = z.int().nonnegative();
const amountSchema = z.number().nonnegative();

/** Where the sender stands in the sorted lists that its fixed shares follow from. */
export const sharePlaceSchema = z.object({
  dataCentreIndex: countSchema,
  dataCentreCount: z.int().positive(),
  daemonIndex: countSchema,
  daemonCount: z.int().positive(),
});

export type SharePlace = z.infer<typeof sharePlaceSchema>;

/** Team, then wanted and held part of its rate and spend, then wanted and held slots. */
export const teamDemandTupleSchema = z.tuple([
  z.string(),
  amountSchema,
  amountSchema,
  countSchema,
  countSchema,
]);

export type TeamDemandTuple = z.infer<typeof teamDemandTupleSchema>;

/** Teams that are not named want nothing and hold nothing but what is fixed. */
export const requestSharesSchema = z.object({
  vm: z.string(),
  seq: z.number(),
  place: sharePlaceSchema,
  /** The last answer adopted. */
  lastAnswer: z.object({ term: z.number(), answeredAtMs: z.number() }).optional(),
  demands: z.array(teamDemandTupleSchema),
});

export type RequestShares = z.infer<typeof requestSharesSchema>;

/** Team, part of its rate and spend, slots. */
export type TeamShareTuple = readonly [team: string, flow: number, slots: number];

/** Of teams that are not named the receiver has nothing. */
export interface GrantedShares {
  readonly seq: number;
  /** Fence of the sender's lease. */
  readonly term: number;
  readonly ttlMs: number;
  readonly answeredAtMs: number;
  readonly shares: readonly TeamShareTuple[];
}

export interface LimitHandlers {
  /** Without `grant` where the receiver divides nothing now, or the request is an old one. */
  requestShares(message: RequestShares): Promise<{ readonly grant?: GrantedShares | undefined }>;
}
