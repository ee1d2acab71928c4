/** Work that a leaving engine got later than a few seconds after it said so. */
import type { EngineTruth, NamedUrl } from '@snipehaven/standins';
import { LEAVING_GRACE_MS } from '../constants.js';
import type { SoakFacts } from '../soakFacts.js';

export const judgeLeaving = (
  facts: SoakFacts,
  names: readonly NamedUrl[],
  engines: readonly EngineTruth[],
): readonly string[] =>
  facts.leavings.flatMap(({ upstream, fromMs, untilMs }) => {
    const engine = engines[names.findIndex(({ name }) => name === upstream)];
    return (engine?.streams ?? [])
      .filter(({ startedMs }) => startedMs > fromMs + LEAVING_GRACE_MS && startedMs < untilMs)
      .map(({ streamId, startedMs }) => {
        const afterMs = startedMs - fromMs;
        return `${streamId}: started at ${upstream} ${afterMs} ms after it began to leave`;
      });
  });
