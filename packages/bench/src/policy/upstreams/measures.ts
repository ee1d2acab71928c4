/** Percentiles, fairness and spread. */

/** The value below which `share` of the values lie; undefined for none. */
export const getPercentile = (values: readonly number[], share: number): number | undefined => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
};

/** Jain's index: 1 when all are equal, 1/n when one has all. */
export const getJainIndex = (values: readonly number[]): number => {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value ** 2, 0);
  return squares === 0 ? 1 : sum ** 2 / (values.length * squares);
};

/** Least, mean and greatest of some values. */
export const getSpread = (
  values: readonly number[],
): { readonly min: number; readonly mean: number; readonly max: number } => ({
  min: Math.min(...values),
  mean: values.reduce((sum, value) => sum + value, 0) / values.length,
  max: Math.max(...values),
});
