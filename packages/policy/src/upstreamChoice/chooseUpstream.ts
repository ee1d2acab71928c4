/** Chooses the upstream for one attempt of a request. */
import { DEFAULT_AFFINITY_RULE, affinityRules } from './affinity/affinityRules.js';
import { chooseOwnSlot } from './chooseOwnSlot.js';
import { listCandidates, needsProbe } from './listCandidates.js';
import { DEFAULT_CHOICE_RULE, choiceRules } from './rules/choiceRules.js';
import type {
  UpstreamChoice,
  UpstreamChoiceInput,
  UpstreamChoiceReason,
  UpstreamView,
} from './types.js';

const choose = (upstream: UpstreamView, reason: UpstreamChoiceReason): UpstreamChoice => ({
  upstream: upstream.id,
  reason,
});

const findOwner = (
  candidates: readonly UpstreamView[],
  input: UpstreamChoiceInput,
): UpstreamView | undefined => {
  const key = input.prefixKey ?? input.sessionKey;
  const rule = affinityRules[input.affinityRule ?? DEFAULT_AFFINITY_RULE];
  return key === undefined ? undefined : rule.findOwner(key, candidates, input);
};

const chooseAmong = (
  candidates: readonly UpstreamView[],
  input: UpstreamChoiceInput,
): UpstreamChoice | undefined => {
  const probe = candidates.find((upstream) => needsProbe(upstream, input.nowMs));
  if (probe) {
    return choose(probe, 'probe');
  }
  const [only] = candidates;
  if (only === undefined) {
    return undefined;
  }
  if (candidates.length === 1) {
    return choose(only, 'onlyCandidate');
  }
  const owner = findOwner(candidates, input);
  if (owner) {
    return choose(owner, 'affinity');
  }
  const ownSlot = chooseOwnSlot(candidates, input);
  if (ownSlot) {
    return choose(ownSlot, 'ownSlot');
  }
  const rule = choiceRules[input.rule ?? DEFAULT_CHOICE_RULE];
  return choose(rule.choose(candidates, input), 'leastLoaded');
};

/**
 * Returns the upstream to send to. Upstreams of the local data centre are preferred while one of
 * them is usable. Undefined if no upstream can take the request now: retry elsewhere (see `retry/`)
 * or answer at once.
 */
export const chooseUpstream = (input: UpstreamChoiceInput): UpstreamChoice | undefined => {
  const candidates = listCandidates(input);
  const local = candidates.filter((upstream) => upstream.dataCentre === input.localDataCentre);
  if (local.length > 0) {
    return chooseAmong(local, input);
  }
  const remote = chooseAmong(candidates, input);
  return remote && { ...remote, reason: 'otherDataCentre' };
};
