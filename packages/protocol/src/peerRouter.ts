/** The inner protocol as a tRPC router: one procedure for each message. */
import { initTRPC } from '@trpc/server';
import {
  fetchChangesSchema,
  pushChangesSchema,
  pushSafeMovesSchema,
} from './configuration/messages.js';
import { deliverScoresSchema } from './evidence/messages.js';
import { requestSharesSchema } from './limits/messages.js';
import { exchangeSchema, probeSchema } from './membership/messages.js';
import type { PeerHandlers } from './peerHandlers.js';
import { getPinSchema, putPinSchema } from './sessions/messages.js';
import { timelineQuerySchema } from './timeline/messages.js';
import { replicateUsageSchema } from './usage/messages.js';

const t = initTRPC.context<PeerHandlers>().create();
const { procedure, router } = t;

export const peerRouter = router({
  membership: router({
    exchange: procedure
      .input(exchangeSchema)
      .mutation(({ ctx, input }) => ctx.membership.exchange(input)),
    probe: procedure.input(probeSchema).mutation(({ ctx, input }) => ctx.membership.probe(input)),
  }),
  configuration: router({
    pushChanges: procedure
      .input(pushChangesSchema)
      .mutation(({ ctx, input }) => ctx.configuration.pushChanges(input)),
    fetchChanges: procedure
      .input(fetchChangesSchema)
      .mutation(({ ctx, input }) => ctx.configuration.fetchChanges(input)),
    pushSafeMoves: procedure
      .input(pushSafeMovesSchema)
      .mutation(({ ctx, input }) => ctx.configuration.pushSafeMoves(input)),
  }),
  usage: router({
    replicate: procedure
      .input(replicateUsageSchema)
      .mutation(({ ctx, input }) => ctx.usage.replicate(input)),
  }),
  evidence: router({
    deliverScores: procedure
      .input(deliverScoresSchema)
      .mutation(({ ctx, input }) => ctx.evidence.deliverScores(input)),
  }),
  limits: router({
    requestShares: procedure
      .input(requestSharesSchema)
      .mutation(({ ctx, input }) => ctx.limits.requestShares(input)),
  }),
  sessions: router({
    getPin: procedure.input(getPinSchema).mutation(({ ctx, input }) => ctx.sessions.getPin(input)),
    putPin: procedure.input(putPinSchema).mutation(({ ctx, input }) => ctx.sessions.putPin(input)),
  }),
  timeline: router({
    listEvents: procedure
      .input(timelineQuerySchema)
      .mutation(({ ctx, input }) => ctx.timeline.listEvents(input as never)),
  }),
});

export type PeerRouter = typeof peerRouter;

/** Answers calls in the same process through the router, with its checks; for tests and fuzzing. */
export const createLocalPeer = (handlers: PeerHandlers): PeerHandlers =>
  peerRouter.createCaller(handlers) as unknown as PeerHandlers;
