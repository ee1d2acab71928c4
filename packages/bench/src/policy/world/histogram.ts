/** Latency percentiles by `hdr-histogram-js`. */
import { build, type Histogram } from 'hdr-histogram-js';

const HIGHEST_MS = 24 * 3_600_000;

/** A histogram of milliseconds. */
export const createLatencyHistogram = (): Histogram =>
  build({
    highestTrackableValue: HIGHEST_MS,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });

/** A percentile, or null of an empty histogram. */
export const getPercentileMs = (histogram: Histogram, percentile: number): number | null =>
  histogram.totalCount === 0 ? null : histogram.getValueAtPercentile(percentile);
