/** Rejects a chat under which engines have crashed before it reaches another engine. */
import { Refusal } from '../refusal.js';
import type { RunTracker } from '../runTracker.js';
import type { ChatRequest } from '../types.js';
import type { CrashTracker } from './crashTracker.js';
import { digestChat } from './digestChat.js';

/** Throws a `held` refusal with the remaining hold time as retry delay. */
export const assertNotHeld = (
  crashes: CrashTracker,
  request: ChatRequest,
  tracker: RunTracker,
): void => {
  const retryAfterMs = crashes.isEmpty ? undefined : crashes.getHoldMs(digestChat(request));
  if (retryAfterMs !== undefined) {
    const message = 'held: engines crashed each time they ran this request';
    throw new Refusal('held', message, tracker, { retryAfterMs });
  }
};
