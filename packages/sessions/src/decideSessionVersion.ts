/** Whether a session stays on its version. */
import type { Pin } from './types.js';

export type SessionMoveReason = 'notAllowed' | 'withdrawn';

export type SessionDecision =
  | { readonly kind: 'keep'; readonly version: string }
  | { readonly kind: 'move'; readonly reason: SessionMoveReason; readonly fromVersion: string };

export interface SessionQuestion {
  readonly pin: Pin;
  /** Whether the team may use the version. */
  readonly isVersionAllowed: (version: string) => boolean;
  /** Whether the version is withdrawn or quarantined. */
  readonly isVersionBlocked: (version: string) => boolean;
}

/** A pin holds against shares and roll-outs, never against a withdrawal or a lost permission. */
export const decideSessionVersion = (question: SessionQuestion): SessionDecision => {
  const { version } = question.pin;
  if (!question.isVersionAllowed(version)) {
    return { kind: 'move', reason: 'notAllowed', fromVersion: version };
  }
  if (question.isVersionBlocked(version)) {
    return { kind: 'move', reason: 'withdrawn', fromVersion: version };
  }
  return { kind: 'keep', version };
};

/** The pin after a move; its higher generation beats the old one wherever that is still known. */
export const movePin = (pin: Pin, model: string, version: string): Pin => ({
  ...pin,
  model,
  version,
  generation: pin.generation + 1,
});
