/** Moving averages of how fast each version answers. */

/** Expected speed of a version. */
export interface VersionLatency {
  readonly firstTokenMs: number;
  readonly msPerToken: number;
}

const WEIGHT = 0.1;
const INITIAL: VersionLatency = { firstTokenMs: 300, msPerToken: 15 };

const move = (average: number, sample: number): number => average + WEIGHT * (sample - average);

export class LatencyBook {
  readonly #byVersion = new Map<string, VersionLatency>();

  get(version: string): VersionLatency {
    return this.#byVersion.get(version) ?? INITIAL;
  }

  record(version: string, firstTokenMs: number, totalMs: number, completionTokens: number): void {
    const msPerToken = Math.max(0, totalMs - firstTokenMs) / Math.max(1, completionTokens);
    const present = this.#byVersion.get(version);
    this.#byVersion.set(
      version,
      present
        ? {
            firstTokenMs: move(present.firstTokenMs, firstTokenMs),
            msPerToken: move(present.msPerToken, msPerToken),
          }
        : { firstTokenMs, msPerToken },
    );
  }
}
