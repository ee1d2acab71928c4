/** Messages of membership and gossip. */
import { z } from 'zod';

export const memberSchema = z.object({
  vm: z.string(),
  dataCentre: z.string(),
  /** `ip:port` of the inner protocol. */
  address: z.string(),
  /** One life of the process: a replacement at the same address has another. */
  incarnation: z.string(),
  /** Raised by the member alone, to refute a suspicion. */
  refutation: z.number(),
  state: z.enum(['alive', 'suspect', 'left', 'dead']),
});

export type Member = z.infer<typeof memberSchema>;

/** One push-pull round: what the sender knows that the receiver may not. */
export const exchangeSchema = z.object({
  from: memberSchema,
  members: z.array(memberSchema),
  /** Payloads of the gossip topics by name; each topic checks its own. */
  topics: z.record(z.string(), z.unknown()),
  /** The sender's hybrid time. */
  at: z.object({ wallMs: z.number(), counter: z.number() }),
  /** Digest of all live members that the sender knows; equal ones need no repair. */
  digest: z.number(),
  /** Digests of parts of them, sent to find where two differ; the answer holds those parts. */
  buckets: z.array(z.number()).optional(),
});

export type Exchange = z.infer<typeof exchangeSchema>;

/** Asks a peer to probe a member that did not answer the asker. */
export const probeSchema = z.object({
  address: z.string(),
  /** The life asked for; without it any answer at the address counts. */
  incarnation: z.string().optional(),
});

export type Probe = z.infer<typeof probeSchema>;

export interface MembershipHandlers {
  exchange(message: Exchange): Promise<Exchange>;
  probe(message: Probe): Promise<{ readonly isAlive: boolean }>;
}
