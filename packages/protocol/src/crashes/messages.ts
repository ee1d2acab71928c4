/** News of upstreams that ended and of requests cleared, carried along with membership's exchanges. */
import { z } from 'zod';

/** A request that was there, whether much speaks against it (1) or little (0), and the caller's attempt. */
const suspectSchema = z.tuple([
  z.string().min(1),
  z.union([z.literal(0), z.literal(1)]),
  z.string(),
]);

export const crashGossipSchema = z.object({
  ends: z.array(z.tuple([z.string().min(1), z.array(suspectSchema)])),
  /** Requests answered in whole since. */
  cleared: z.array(z.string().min(1)),
});

export type CrashGossip = z.infer<typeof crashGossipSchema>;
