/** Histograms of latencies in ms, by `hdr-histogram-js`, to two significant digits. */
import { build, type Histogram } from 'hdr-histogram-js';

export type { Histogram } from 'hdr-histogram-js';

const SIGNIFICANT_DIGITS = 2;

/** Quantiles that are told, in percent. */
export const LATENCY_QUANTILES = [50, 95, 99] as const;

export const createLatencyHistogram = (highestMs: number): Histogram =>
  build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: highestMs,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
