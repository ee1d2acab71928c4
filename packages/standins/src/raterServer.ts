/** HTTP edge of the rater. */
import { z } from 'zod';
import { applyCommonControl, raterControlSchema } from './control.js';
import {
  getQueryNumber,
  readJson,
  startEdge,
  type EdgeCall,
  type EdgeReply,
  type ListenOptions,
  type StandinServer,
} from './httpEdge.js';
import type { RaterCore } from './rater.js';

const ratingSchema = z.object({
  id: z.string(),
  team: z.string(),
  task: z.string(),
  version: z.string(),
  prompt: z.string(),
  answer: z.string(),
});

const ratingsSchema = z.object({ ratings: z.array(ratingSchema) });

const DEFAULT_PAGE = 1000;

const handleControl = async (
  core: RaterCore,
  call: EdgeCall,
  server: StandinServer,
): Promise<EdgeReply> => {
  const { delays, ratingLossRate, ...common } = await readJson(call, raterControlSchema);
  applyCommonControl(common, core.gate, server, call);
  if (delays) {
    core.setDelays(delays.ratingDelayMs, delays.ratingDelaySpreadMs);
  }
  if (ratingLossRate !== undefined) {
    core.setLossRate(ratingLossRate);
  }
  return { status: 200, body: {} };
};

/** Serves the rater over HTTP. */
export const startRaterServer = async (
  core: RaterCore,
  options?: ListenOptions,
): Promise<StandinServer> => {
  const server: StandinServer = await startEdge(
    {
      'POST /ratings': async (call) => {
        const { ratings } = await readJson(call, ratingsSchema);
        await core.submit(ratings, call.client);
        return { status: 202, body: {} };
      },
      'POST /rate': async (call) => {
        const rating = await readJson(call, ratingSchema);
        return { status: 200, body: { score: await core.rate(rating, call.client) } };
      },
      'GET /ratings': async (call) => {
        const afterSeq = getQueryNumber(call, 'after', 0);
        const limit = getQueryNumber(call, 'limit', DEFAULT_PAGE);
        return { status: 200, body: await core.list(afterSeq, limit, call.client) };
      },
      'POST /control': (call) => handleControl(core, call, server),
      'GET /truth': async () => ({ status: 200, body: core.getTruth() }),
    },
    options,
  );
  return server;
};
