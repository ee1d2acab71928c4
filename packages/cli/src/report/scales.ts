/** Scales of plots. */

const TICK_STEPS = [1, 2, 2.5, 5, 10] as const;
const WANTED_TICKS = 4;

/** A round step that divides the range into a few parts. */
export const getTickStep = (limit: number): number => {
  const rough = limit / WANTED_TICKS;
  const magnitude = 10 ** Math.floor(Math.log10(rough));
  const step = TICK_STEPS.find((candidate) => candidate * magnitude >= rough) ?? 10;
  return step * magnitude;
};

const SIGNIFICANT_DIGITS = 6;

const toRound = (value: number): number => Number(value.toPrecision(SIGNIFICANT_DIGITS));

/** Ticks from 0 to at least the highest value; 0 and 1 for plots without values. */
export const listTicks = (highest: number): readonly number[] => {
  const limit = highest > 0 && Number.isFinite(highest) ? highest : 1;
  const step = getTickStep(limit);
  return Array.from({ length: Math.ceil(limit / step) + 1 }, (_unused, index) =>
    toRound(index * step),
  );
};
