/** Splits a route's requests over its services by weight. */

export interface WeightedTarget {
  readonly service: string;
  readonly weight: number;
}

/** The service for a draw that is uniform in [0, 1); empty when there is no target. */
export const pickTarget = (targets: readonly WeightedTarget[], draw: number): string => {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = draw * total;
  const target = targets.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return (target ?? targets.at(-1))?.service ?? '';
};
