/** Token costs, computed identically by the owner and an adopter of a record. */
import type { UsageLine, UsageStream } from '@snipehaven/protocol';

const TOKENS_PER_PRICE = 1_000_000;

/** The price of a run's tokens, rounded to whole micro-dollars. */
export const getCostMicroUsd = (
  stream: UsageStream,
  promptTokens: number,
  completionTokens: number,
): number =>
  Math.round(
    (promptTokens * stream.inputMicroUsdPerMillionTokens +
      completionTokens * stream.outputMicroUsdPerMillionTokens) /
      TOKENS_PER_PRICE,
  );

/** The line item of one run. */
export const createUsageLine = (
  stream: UsageStream,
  promptTokens: number,
  completionTokens: number,
): UsageLine => ({
  streamId: stream.streamId,
  version: stream.version,
  upstream: stream.upstream,
  promptTokens,
  completionTokens,
  costMicroUsd: getCostMicroUsd(stream, promptTokens, completionTokens),
});
