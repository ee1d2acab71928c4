/** Exponential moving averages of each version's latency. */

/** The expected latency of a version. */
export interface VersionLatency {
  readonly firstTokenMs: number;
  readonly msPerToken: number;
}

const SMOOTHING_FACTOR = 0.1;
const INITIAL_LATENCY: VersionLatency = { firstTokenMs: 300, msPerToken: 15 };

const updateAverage = (average: number, sample: number): number =>
  average + SMOOTHING_FACTOR * (sample - average);

export class LatencyTracker {
  readonly #byVersion = new Map<string, VersionLatency>();

  get(version: string): VersionLatency {
    return this.#byVersion.get(version) ?? INITIAL_LATENCY;
  }

  record(version: string, firstTokenMs: number, totalMs: number, completionTokens: number): void {
    const msPerToken = Math.max(0, totalMs - firstTokenMs) / Math.max(1, completionTokens);
    const present = this.#byVersion.get(version);
    this.#byVersion.set(
      version,
      present
        ? {
            firstTokenMs: updateAverage(present.firstTokenMs, firstTokenMs),
            msPerToken: updateAverage(present.msPerToken, msPerToken),
          }
        : { firstTokenMs, msPerToken },
    );
  }
}
