/** Finds the session of a request and checks whether its pinned version is still usable. */
import type { SafeMoves } from '@snipehaven/configuration';
import {
  decideSessionVersion,
  type Pin,
  type PinDirectory,
  type SessionMoveReason,
  type SessionTokens,
} from '@snipehaven/sessions';
import { isVersionAllowed } from './teamDirectory.js';
import type { ChatRequest } from './types.js';

export type SessionState =
  /** The first request of a session, or a request without a session. */
  | { readonly kind: 'new' }
  | { readonly kind: 'pinned'; readonly pin: Pin }
  /** The pinned version may no longer be used, so the session moves to another version. */
  | { readonly kind: 'moving'; readonly pin: Pin; readonly reason: SessionMoveReason };

export interface SessionResolverOptions {
  readonly tokens: SessionTokens;
  readonly pins: PinDirectory;
  readonly safeMoves: SafeMoves;
}

const findPin = async (
  request: ChatRequest,
  { tokens, pins }: SessionResolverOptions,
): Promise<Pin | undefined> => {
  const { sessionToken, callerSession } = request.options;
  const { uid } = request.identity.team.metadata;
  if (sessionToken !== undefined) {
    return tokens.verify(sessionToken, uid);
  }
  return callerSession === undefined ? undefined : pins.find(uid, callerSession);
};

/** Resolves the session; a pin never overrides a withdrawal or the team's permissions. */
export const resolveSession = async (
  request: ChatRequest,
  options: SessionResolverOptions,
): Promise<SessionState> => {
  const pin = await findPin(request, options);
  if (pin === undefined) {
    return { kind: 'new' };
  }
  const decision = decideSessionVersion({
    pin,
    isVersionAllowed: (version) => isVersionAllowed(request.identity.team, version),
    isVersionBlocked: (version) => options.safeMoves.isVersionBlocked(version),
  });
  return decision.kind === 'keep'
    ? { kind: 'pinned', pin }
    : { kind: 'moving', pin, reason: decision.reason };
};
