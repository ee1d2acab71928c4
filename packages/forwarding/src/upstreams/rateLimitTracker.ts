/**
 * Follows the rate limits that upstreams state in their answers, and shares them with the other
 * daemons: a daemon that has had no answer since goes on sending the upstream its usual requests.
 */
import type { Logger } from '@snipehaven/common';
import type { RateLimitNews } from '../peers/index.js';
import type { StatedRateLimit } from '../types.js';
import { InvalidStatementLog } from './invalidStatementLog.js';
import type { RateLimitChange, RateLimitReport } from './rateLimitState.js';
import type { UpstreamDirectory } from './upstreamDirectory.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/** Answers that arrive within this time are reported in one message. */
const BATCH_MS = 20;

/** A change is told once more after this, as a daemon that missed it would not ask. */
const REPEAT_DELAY_MS = 300;

/**
 * A limit in force is told again after this, for daemons that have started meanwhile, and so that
 * no daemon takes it for unconfirmed.
 */
const RENEWAL_MS = 4_000;

/** A limit that has not been confirmed for this long is asked about, and again after each such time. */
const UNCONFIRMED_MS = 10_000;
const QUESTION_INTERVAL_MS = 3_000;

export interface RateLimitTrackerOptions {
  readonly logger: Logger;
  readonly directory: UpstreamDirectory;
  broadcast(news: readonly RateLimitNews[]): void;
  /** Sends the news to one other daemon, which tells all of them if it knows better. */
  ask(news: readonly RateLimitNews[]): void;
}

const toNews = (lifeId: string, report: RateLimitReport, nowMs: number): RateLimitNews => ({
  lifeId,
  requestsPerS: report.requestsPerS ?? null,
  sentAgoMs: nowMs - report.sentAtMs,
  heardAgoMs: nowMs - report.heardAtMs,
});

export class RateLimitTracker {
  readonly #options: RateLimitTrackerOptions;

  /** Reports that are to be sent to the other daemons, by incarnation. */
  readonly #unsent = new Map<string, RateLimitReport>();

  /** When any daemon last told the others of an incarnation, as far as known here. */
  readonly #toldAtMs = new WeakMap<UpstreamEntry, number>();

  readonly #invalidLog: InvalidStatementLog;

  constructor(options: RateLimitTrackerOptions) {
    this.#options = options;
    this.#invalidLog = new InvalidStatementLog(options.logger, 'rateLimit');
    setInterval(() => this.#askAboutUnconfirmed(), QUESTION_INTERVAL_MS).unref();
  }

  /** Records what an answer said; `sentAtMs`: when its request was sent. */
  recordAnswer(entry: UpstreamEntry, stated: StatedRateLimit, sentAtMs: number): void {
    if (stated.kind === 'invalid') {
      this.#invalidLog.add(entry, stated.text);
      return;
    }
    const requestsPerS = stated.kind === 'limited' ? stated.requestsPerS : undefined;
    const heardAtMs = performance.now();
    const report = { requestsPerS, sentAtMs, heardAtMs };
    const change = this.#apply(entry, report, 'answer');
    if (change !== undefined) {
      this.#tell(entry, report);
      setTimeout(() => this.#tell(entry, report), REPEAT_DELAY_MS).unref();
    } else if (this.#isRenewalDue(entry, report)) {
      this.#tell(entry, report);
    }
  }

  /** Applies what other daemons heard. Unknown upstreams are skipped: the news is renewed. */
  receive(news: readonly RateLimitNews[]): void {
    const nowMs = performance.now();
    news.forEach(({ lifeId, requestsPerS, sentAgoMs, heardAgoMs }) => {
      const entry = this.#options.directory.findIncarnation(lifeId);
      if (entry !== undefined) {
        this.#toldAtMs.set(entry, nowMs);
        const times = { sentAtMs: nowMs - sentAgoMs, heardAtMs: nowMs - heardAgoMs };
        const report = { requestsPerS: requestsPerS ?? undefined, ...times };
        this.#apply(entry, report, 'peer');
        if (entry.rateLimit.isNewerThan(report)) {
          this.#tell(entry, entry.rateLimit.latest);
        }
      }
    });
  }

  /** A daemon that missed the end of a limit has no share and may hear nothing of the upstream. */
  #askAboutUnconfirmed(): void {
    const nowMs = performance.now();
    const unconfirmed = [...this.#options.directory.entries].filter(
      ({ rateLimit }) =>
        rateLimit.requestsPerS !== undefined && nowMs - rateLimit.heardAtMs > UNCONFIRMED_MS,
    );
    if (unconfirmed.length > 0) {
      this.#options.ask(
        unconfirmed.map(({ lifeId, rateLimit }) => toNews(lifeId, rateLimit.latest, nowMs)),
      );
    }
  }

  #isRenewalDue(entry: UpstreamEntry, { requestsPerS, heardAtMs }: RateLimitReport): boolean {
    const toldAtMs = this.#toldAtMs.get(entry) ?? -Infinity;
    const isInForce = requestsPerS !== undefined && requestsPerS === entry.rateLimit.requestsPerS;
    return isInForce && heardAtMs - toldAtMs >= RENEWAL_MS;
  }

  #tell(entry: UpstreamEntry, report: RateLimitReport): void {
    this.#toldAtMs.set(entry, performance.now());
    if (this.#unsent.size === 0) {
      setTimeout(() => this.#flush(), BATCH_MS).unref();
    }
    this.#unsent.set(entry.lifeId, report);
  }

  #flush(): void {
    const nowMs = performance.now();
    const news = [...this.#unsent].map(([lifeId, report]) => toNews(lifeId, report, nowMs));
    this.#unsent.clear();
    this.#options.broadcast(news);
  }

  #apply(
    entry: UpstreamEntry,
    report: RateLimitReport,
    source: 'answer' | 'peer',
  ): RateLimitChange | undefined {
    const { requestsPerS: before } = entry.rateLimit;
    const change = entry.rateLimit.apply(report);
    if (change !== undefined) {
      this.#options.logger.info(
        {
          event: 'upstreamRateLimit',
          upstream: entry.id,
          life: entry.lifeId,
          change,
          requestsPerS: report.requestsPerS,
          before,
          source,
          ageMs: Math.round(performance.now() - report.heardAtMs),
        },
        'the request rate that an upstream accepts has changed',
      );
    }
    return change;
  }
}
