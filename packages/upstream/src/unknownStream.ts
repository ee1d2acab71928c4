/** What an engine's "I have no such stream" proves. */
import { MAX_CLOCK_SKEW_MS, STREAM_MEMORY_MS } from './constants.js';
import { unknownStreamSchema } from './schemas.js';

/** When the engine's memory begins, by the body of its 404; undefined where the body does not say. */
export const readBootMs = (text: string): number | undefined => {
  try {
    return unknownStreamSchema.safeParse(JSON.parse(text)).data?.bootMs;
  } catch {
    return undefined;
  }
};

/**
 * Whether the stream never started there.
 *
 * What goes wrong: an engine restarts in mid-run and then knows nothing of it, or something in between
 * answers 404 for it. Taken for "never started", a run that took place is called "not run", and a request
 * that must not be repeated runs again; or its record is dropped unbilled. One notices two runs under one
 * request key. The answer counts only for a stream handed over after the engine's memory begins and so
 * lately that an ended one would still be kept, with room for clocks that differ.
 */
export const provesNotStarted = (
  bootMs: number | undefined,
  handedOverAtMs: number | undefined,
  nowMs: number,
): boolean =>
  bootMs !== undefined &&
  handedOverAtMs !== undefined &&
  bootMs + MAX_CLOCK_SKEW_MS <= handedOverAtMs &&
  nowMs - handedOverAtMs <= STREAM_MEMORY_MS - MAX_CLOCK_SKEW_MS;
