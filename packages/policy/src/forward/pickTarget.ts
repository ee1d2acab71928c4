/** Splits a route's requests over its services by weight. */

export interface WeightedTarget {
  readonly service: string;
  readonly weight: number;
}

/** Returns the service for a value drawn uniformly from [0, 1); empty if there are no targets. */
export const pickTarget = (targets: readonly WeightedTarget[], draw: number): string => {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = draw * total;
  const target = targets.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return (target ?? targets.at(-1))?.service ?? '';
};
