/** What one simulated daemon keeps of one engine: the view that the decisions read. */
import { asId } from '@snipehaven/common';
import type { DataCentreId, Random, UpstreamId } from '@snipehaven/common';
import {
  adjustConcurrency,
  createConcurrency,
  createHealth,
  getKnownLoad,
  getMaxConcurrency,
  recordOutcome,
} from '@snipehaven/policy';
import type { ConcurrencyRule, OutcomeKind, UpstreamView } from '@snipehaven/policy';

type MutableView = { -readonly [Key in keyof UpstreamView]: UpstreamView[Key] };

/** One engine's load report. */
export interface LoadReport {
  readonly atMs: number;
  readonly running: number;
  readonly queued: number;
  readonly prefixes: ReadonlySet<string>;
}

export const LOCAL_DATA_CENTRE = asId<DataCentreId>('local');
const UNLIMITED = 1_000_000;
const FIRST_TOKEN_WEIGHT = 0.1;

/** One engine as one daemon knows it. */
export class UpstreamState {
  readonly view: MutableView;

  #sentAtMs: number[] = [];

  #health = createHealth(-1_000_000);

  #concurrency = createConcurrency();

  #prefixes: ReadonlySet<string> = new Set();

  #rule: ConcurrencyRule | 'none';

  #getOwnSlots: (limit: number) => number;

  constructor(
    index: number,
    rule: ConcurrencyRule | 'none',
    getOwnSlots: (limit: number) => number,
  ) {
    this.#rule = rule;
    this.#getOwnSlots = getOwnSlots;
    this.view = {
      id: asId<UpstreamId>(`upstream-${index}`),
      dataCentre: LOCAL_DATA_CENTRE,
      inFlight: 0,
      sentSinceReport: 0,
      reportedRunning: 0,
      reportedQueued: 0,
      reportAtMs: 0,
      maxConcurrency: rule === 'none' ? UNLIMITED : getMaxConcurrency(this.#concurrency),
      ownSlots: rule === 'none' ? 0 : getOwnSlots(getMaxConcurrency(this.#concurrency)),
      firstTokenMs: 0,
      ejectedUntilMs: 0,
      slowStartSinceMs: 0,
      isLeaving: false,
      hasPrefixCached: false,
    };
  }

  get load(): number {
    return getKnownLoad(this.view);
  }

  /** Sets what the cache events said about the next request's prefix. */
  lookUpPrefix(prefixKey: string): void {
    this.view.hasPrefixCached = this.#prefixes.has(prefixKey);
  }

  recordReport(report: LoadReport): void {
    this.view.reportedRunning = report.running;
    this.view.reportedQueued = report.queued;
    this.view.reportAtMs = report.atMs;
    this.#prefixes = report.prefixes;
    this.#countSends();
  }

  recordSend(nowMs: number): void {
    this.#sentAtMs.push(nowMs);
    this.#countSends();
  }

  /** An attempt has ended, whichever way. */
  recordEnd(sentAtMs: number): void {
    this.#sentAtMs.splice(this.#sentAtMs.indexOf(sentAtMs), 1);
    this.#countSends();
  }

  recordHealth(
    outcome: OutcomeKind,
    nowMs: number,
    pool: readonly UpstreamState[],
    random: Random,
  ): void {
    const ejectedCount = pool.filter(
      ({ view }) => view !== this.view && view.ejectedUntilMs !== 0,
    ).length;
    const situation = { poolSize: pool.length, ejectedCount, random };
    this.#health = recordOutcome(this.#health, outcome, nowMs, situation);
    this.view.ejectedUntilMs = this.#health.ejectedUntilMs;
    this.view.slowStartSinceMs = this.#health.slowStartSinceMs;
  }

  recordSample(firstTokenMs: number, load: number, isRefused: boolean): void {
    const before = this.view.firstTokenMs;
    this.view.firstTokenMs =
      before === 0 ? firstTokenMs : before + FIRST_TOKEN_WEIGHT * (firstTokenMs - before);
    if (this.#rule !== 'none') {
      this.#concurrency = adjustConcurrency(
        this.#concurrency,
        {
          firstTokenMs,
          load,
          isRefused,
          reportedRunning: this.view.reportedRunning,
          reportedQueued: this.view.reportedQueued,
        },
        this.#rule,
      );
      this.#followLimit();
    }
  }

  /** The daemon's slots follow the limit. */
  #followLimit(): void {
    const limit = getMaxConcurrency(this.#concurrency);
    if (limit !== this.view.maxConcurrency) {
      this.view.maxConcurrency = limit;
      this.view.ownSlots = this.#getOwnSlots(limit);
    }
  }

  #countSends(): void {
    this.view.inFlight = this.#sentAtMs.length;
    this.view.sentSinceReport = this.#sentAtMs.filter((atMs) => atMs > this.view.reportAtMs).length;
  }
}
