/** A straight line through measured points, by least squares. */

export interface Point {
  readonly x: number;
  readonly y: number;
}

export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the distances in `y`. */
  readonly residual: number;
}

const getMean = (numbers: readonly number[]): number =>
  numbers.reduce((sum, number) => sum + number, 0) / Math.max(1, numbers.length);

/** The line; flat through the mean where all points have one `x`. */
export const fitLine = (points: readonly Point[]): Line => {
  const meanX = getMean(points.map(({ x }) => x));
  const meanY = getMean(points.map(({ y }) => y));
  const spread = getMean(points.map(({ x }) => (x - meanX) ** 2));
  const common = getMean(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const slope = spread === 0 ? 0 : common / spread;
  const intercept = meanY - slope * meanX;
  const squares = points.map(({ x, y }) => (y - intercept - slope * x) ** 2);
  return { slope, intercept, residual: Math.sqrt(getMean(squares)) };
};

export const evaluateLine = (line: Line, x: number): number => line.intercept + line.slope * x;
