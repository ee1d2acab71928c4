/** Why nothing that the team may use can answer a request. */
import { asId, type VersionId } from '@snipehaven/common';
import { AUTO_MODEL } from './constants.js';
import type { RoutingDependencies } from './dependencies.js';
import { matchesWish } from './planChat.js';
import { Refusal } from './refusal.js';
import type { RunTracker } from './runTracker.js';
import type { SessionState } from './sessionResolver.js';
import { isVersionAllowed } from './teamDirectory.js';
import type { ChatRequest } from './types.js';

export interface NoPlanInput {
  readonly request: ChatRequest;
  readonly session: SessionState;
  /** Versions that were tried and had no upstream with room. */
  readonly excluded: readonly VersionId[];
  readonly tracker: RunTracker;
}

type Dependencies = Pick<RoutingDependencies, 'configuration' | 'safeMoves'>;

/** The refusal says to come back only where that can help. */
export const createNoPlanRefusal = (input: NoPlanInput, deps: Dependencies): Refusal => {
  const { request, session, excluded, tracker } = input;
  const wished = request.body.model;
  const { team } = request.identity;
  if (session.kind === 'pinned' && !matchesWish(wished, asId<VersionId>(session.pin.version))) {
    const message = `the session runs on ${session.pin.version}: ask for it or for auto`;
    return new Refusal('invalidRequest', message, tracker);
  }
  if (deps.safeMoves.isVersionBlocked(wished)) {
    return new Refusal('unknownModel', `${wished} is withdrawn`, tracker);
  }
  const matching = deps.configuration
    .getView()
    .list('ModelVersion')
    .filter(({ metadata }) => matchesWish(wished, asId<VersionId>(metadata.name)));
  if (matching.length === 0) {
    return new Refusal('unknownModel', `model ${wished} does not exist`, tracker);
  }
  const isAllowed = matching.some(({ metadata }) => isVersionAllowed(team, metadata.name));
  if (wished !== AUTO_MODEL && !isAllowed) {
    const message = `team ${team.metadata.name} may not use ${wished}`;
    return new Refusal('forbidden', message, tracker);
  }
  const detail = excluded.length > 0 ? `, tried ${excluded.join(', ')}` : '';
  return new Refusal('noUpstream', `no version can answer now${detail}`, tracker);
};
