/** Durations and moments as operators write them. */
import { InvalidInputError } from '../errors.js';

const unitsMs: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};
const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s|m|h|d)$/;

/** Milliseconds of a duration such as `90s`, `15m`, `2h`; throws {@link InvalidInputError}. */
export const readDurationMs = (text: string): number => {
  const match = DURATION_PATTERN.exec(text);
  if (match === null) {
    throw new InvalidInputError(`${text} is no duration: write 500ms, 90s, 15m, 2h or 7d`);
  }
  return Math.round(Number(match[1]) * (unitsMs[match[2] ?? ''] ?? 0));
};

/** A moment: a duration before now, or an ISO time. */
export const readMomentMs = (text: string, nowMs: number): number => {
  if (DURATION_PATTERN.test(text)) {
    return Math.max(0, nowMs - readDurationMs(text));
  }
  const timeMs = Date.parse(text);
  if (Number.isNaN(timeMs)) {
    throw new InvalidInputError(`${text} is no time: write 15m, or 2026-01-31T08:00:00Z`);
  }
  return timeMs;
};

/** Reads an optional moment. */
export const readOptionalMomentMs = (
  text: string | undefined,
  nowMs: number,
): number | undefined => (text === undefined ? undefined : readMomentMs(text, nowMs));
