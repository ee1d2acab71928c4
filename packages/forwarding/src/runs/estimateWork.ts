/** How much of an upstream a request takes. */
import type { ForwardRoute, RequestOptions, ServicePool } from '../types.js';

/**
 * Work of one request. For engines in prompt tokens of the pool's dearest model; for plain services one
 * request is 1.
 */
export interface Work {
  /** Until the answer begins, where no part of the prompt is kept. */
  readonly own: number;
  /** Reading the parts that other requests share. */
  readonly shared: number;
  /** From the answer's beginning to its end. */
  readonly running: number;
}

/** What a request adds to an engine's steps beside its prompt, in prompt tokens. */
const STEP_TOKENS = 40;

/** An engine writes many answers at once: a token of one delays a new prompt by about this many tokens.
 * An estimate; the engines do not tell. */
const DELAY_PER_OUTPUT_TOKEN = 0.5;

const PLAIN_WORK: Work = { own: 1, shared: 0, running: 1 };

/** Cost per token stands for the time that a model takes, relative to the pool's dearest one. */
const getRelativeModelCost = (service: ServicePool, model: string | undefined): number => {
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
): Work => {
  if (route.kind !== 'stream' || service?.engine === undefined) {
    return PLAIN_WORK;
  }
  const share = getRelativeModelCost(service, model);
  const sharedTokens = options.promptParts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
  const ownTokens = Math.max(0, options.promptTokens - sharedTokens);
  return {
    own: (STEP_TOKENS + ownTokens) * share,
    shared: sharedTokens * share,
    running: options.maxOutputTokens * DELAY_PER_OUTPUT_TOKEN * share,
  };
};
