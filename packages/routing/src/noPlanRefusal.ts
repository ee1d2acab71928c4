/** Explains why no version that the team may use can answer a request. */
import { asId, type VersionId } from '@snipehaven/common';
import { AUTO_MODEL } from './constants.js';
import type { RoutingDependencies } from './dependencies.js';
import { matchesRequestedModel } from './planChat.js';
import { Refusal } from './refusal.js';
import type { RunTracker } from './runTracker.js';
import type { SessionState } from './sessionResolver.js';
import { isVersionAllowed } from './teamDirectory.js';
import type { ChatRequest } from './types.js';

export interface NoPlanInput {
  readonly request: ChatRequest;
  readonly session: SessionState;
  /** Versions already tried that had no upstream with capacity. */
  readonly excluded: readonly VersionId[];
  readonly tracker: RunTracker;
}

type Dependencies = Pick<RoutingDependencies, 'configuration' | 'safeMoves'>;

/** Chooses a retryable refusal only if a retry can succeed. */
export const createNoPlanRefusal = (input: NoPlanInput, deps: Dependencies): Refusal => {
  const { request, session, excluded, tracker } = input;
  const requestedModel = request.body.model;
  const { team } = request.identity;
  if (
    session.kind === 'pinned' &&
    !matchesRequestedModel(requestedModel, asId<VersionId>(session.pin.version))
  ) {
    const message = `the session is pinned to ${session.pin.version}: request that version or auto`;
    return new Refusal('invalidRequest', message, tracker);
  }
  if (deps.safeMoves.isVersionBlocked(requestedModel)) {
    return new Refusal('unknownModel', `${requestedModel} is withdrawn`, tracker);
  }
  const matching = deps.configuration
    .getView()
    .list('ModelVersion')
    .filter(({ metadata }) =>
      matchesRequestedModel(requestedModel, asId<VersionId>(metadata.name)),
    );
  if (matching.length === 0) {
    return new Refusal('unknownModel', `model ${requestedModel} does not exist`, tracker);
  }
  const isAllowed = matching.some(({ metadata }) => isVersionAllowed(team, metadata.name));
  if (requestedModel !== AUTO_MODEL && !isAllowed) {
    const message = `team ${team.metadata.name} may not use ${requestedModel}`;
    return new Refusal('forbidden', message, tracker);
  }
  const detail = excluded.length > 0 ? `, tried ${excluded.join(', ')}` : '';
  return new Refusal('noUpstream', `no version is available now${detail}`, tracker);
};
