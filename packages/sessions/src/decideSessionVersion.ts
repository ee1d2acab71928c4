/** Decides whether a session stays on its version. */
import type { Pin } from './types.js';

export type SessionMoveReason = 'notAllowed' | 'withdrawn';

export type SessionDecision =
  | { readonly kind: 'keep'; readonly version: string }
  | { readonly kind: 'move'; readonly reason: SessionMoveReason; readonly fromVersion: string };

export interface SessionVersionInput {
  readonly pin: Pin;
  readonly isVersionAllowed: (version: string) => boolean;
  /** Whether the version is withdrawn or quarantined. */
  readonly isVersionBlocked: (version: string) => boolean;
}

/**
 * A pin is independent of traffic shares and roll-outs; only a withdrawal or a revoked permission
 * overrides it.
 */
export const decideSessionVersion = (input: SessionVersionInput): SessionDecision => {
  const { version } = input.pin;
  if (!input.isVersionAllowed(version)) {
    return { kind: 'move', reason: 'notAllowed', fromVersion: version };
  }
  if (input.isVersionBlocked(version)) {
    return { kind: 'move', reason: 'withdrawn', fromVersion: version };
  }
  return { kind: 'keep', version };
};

/**
 * The pin after a move; its higher generation supersedes the old pin wherever that is still known.
 */
export const movePin = (pin: Pin, model: string, version: string): Pin => ({
  ...pin,
  model,
  version,
  generation: pin.generation + 1,
});
