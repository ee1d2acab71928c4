import { getModelOfVersion, type VersionId } from '@snipehaven/common';
import type { Pin } from '@snipehaven/sessions';
import type { SessionState } from './sessionResolver.js';
import type { ChatRequest } from './types.js';

/**
 * Creates the pin of a session that runs on a version. The session's id and start time are kept;
 * moving to another version increments the generation.
 */
export const createPin = (
  { options, requestId, identity }: ChatRequest,
  session: SessionState,
  version: VersionId,
): Pin => {
  const previous = session.kind === 'new' ? undefined : session.pin;
  const isSame = previous?.version === version;
  return {
    teamUid: identity.team.metadata.uid,
    session: previous?.session ?? options.callerSession ?? requestId,
    model: getModelOfVersion(version),
    version,
    startedAtMs: previous?.startedAtMs ?? Date.now(),
    generation: (previous?.generation ?? 0) + (isSame ? 0 : 1),
  };
};
