/** Estimates the load that a request puts on an upstream. */
import type { ForwardRoute, RequestOptions, ServicePool } from '../types.js';

/**
 * Work of one request. For engines it is counted in prompt tokens of the pool's most expensive
 * model; for plain services each request counts as 1.
 */
export interface Work {
  /** Work until the answer begins, if no part of the prompt is cached. */
  readonly own: number;
  /** Work to process the prompt parts shared with other requests. */
  readonly shared: number;
  /** Work from the beginning of the answer to its end. */
  readonly running: number;
}

/** Fixed cost that a request adds to an engine's steps besides its prompt, in prompt tokens. */
const STEP_TOKENS = 40;

/**
 * Delay of a new prompt caused by each output token of a running answer, in prompt tokens: an
 * engine generates many answers in one batch. An estimate, as engines do not report it.
 */
const DELAY_PER_OUTPUT_TOKEN = 0.5;

const PLAIN_WORK: Work = { own: 1, shared: 0, running: 1 };

/**
 * Uses the cost per token as a proxy for the time a model takes, relative to the pool's most
 * expensive one.
 */
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
