/** How much of an upstream one request takes, in places: 1 is a plain request, or a usual prompt. */
import type { ForwardRoute, RequestOptions, ServicePool } from '../types.js';

/** A token generated in a full batch takes about as long as this many tokens of a prompt read. */
const TOKENS_PER_OUTPUT_TOKEN = 5;

/** Prompt and answer of a usual request, in prompt tokens. */
const USUAL_TOKENS = 4_000;

/** What each request takes of a batch beside its tokens. */
const BASE_WORK = 0.15;

/** Cost per token stands for the time that a model takes, relative to the pool's dearest one. */
const getModelShare = (service: ServicePool, model: string | undefined): number => {
  const models = service.engine?.models ?? [];
  const largest = Math.max(...models.map(({ costPer1000Tokens }) => costPer1000Tokens));
  const own = models.find(({ name }) => name === model);
  return own && largest > 0 ? own.costPer1000Tokens / largest : 1;
};

export const estimateWork = (
  route: ForwardRoute,
  service: ServicePool | undefined,
  options: RequestOptions,
  model: string | undefined,
): number => {
  if (route.kind !== 'stream' || service?.engine === undefined) {
    return 1;
  }
  const shared = options.promptParts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
  const ownTokens = Math.max(0, options.promptTokens - shared);
  const tokens = ownTokens + TOKENS_PER_OUTPUT_TOKEN * options.maxOutputTokens;
  return BASE_WORK + (tokens / USUAL_TOKENS) * getModelShare(service, model);
};
