/**
 * The cascade of one route's models: the smallest model answers first and reports how sure it is; an
 * unsure answer is dropped before the caller has any of it and the largest model is asked.
 */

export interface CascadeInput {
  /** Smallest first. */
  readonly models: readonly string[];
  readonly confidence: number;
  readonly threshold: number;
  /** Left until the answer counts as late. */
  readonly onTimeLeftMs: number;
  readonly canAttemptAgain: boolean;
}

/** Share of the largest model's place in the line: answers below the threshold go to it at once. */
export const isGoodEnough = ({
  confidence,
  threshold,
}: Pick<CascadeInput, 'confidence' | 'threshold'>): boolean => confidence >= threshold;

/** The model to ask instead, or undefined when the answer at hand is to be kept. */
export const chooseNextModel = (input: CascadeInput, present: string): string | undefined => {
  const largest = input.models.at(-1);
  if (largest === undefined || largest === present || !input.canAttemptAgain) {
    return undefined;
  }
  return isGoodEnough(input) ? undefined : largest;
};

/** Confidence below which an answer is asked for again. */
export const DEFAULT_CONFIDENCE_THRESHOLD = 60;
