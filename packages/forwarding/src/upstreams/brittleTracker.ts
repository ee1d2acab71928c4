/**
 * Follows which services have upstreams that fall over when they have to turn many requests away, and
 * tells the other daemons: each of them would otherwise send its usual requests until its own answer.
 */
import type { Logger } from '@snipehaven/common';
import type { BrittleNews } from '../peers/index.js';
import type { StatedBrittleness } from '../types.js';
import { BrittleServices, type BrittleChange, type BrittleReport } from './brittleServices.js';
import { InvalidStatementLog } from './invalidStatementLog.js';
import type { UpstreamDirectory } from './upstreamDirectory.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/** A change is told once more after this, as a daemon that missed it would not ask. */
const REPEAT_DELAY_MS = 300;

/** Told again after this, for daemons that have started meanwhile. */
const RENEWAL_MS = 1_000;

export interface BrittleTrackerOptions {
  readonly logger: Logger;
  readonly directory: UpstreamDirectory;
  broadcast(news: readonly BrittleNews[]): void;
  /** Called when a service is known to be brittle for the first time, or with another number. */
  onBrittle(): void;
}

export class BrittleTracker {
  readonly #options: BrittleTrackerOptions;

  readonly #services = new BrittleServices();

  /** When any daemon last told the others of a service, as far as known here. */
  readonly #toldAtMs = new Map<string, number>();

  readonly #invalidLog: InvalidStatementLog;

  constructor(options: BrittleTrackerOptions) {
    this.#options = options;
    this.#invalidLog = new InvalidStatementLog(options.logger, 'brittle');
  }

  /** Undefined while the upstream is not known to be brittle. */
  getRejectionsPerS({ upstream }: UpstreamEntry): number | undefined {
    return this.#services.getRejectionsPerS(upstream.service);
  }

  listBrittle(): readonly UpstreamEntry[] {
    const { names } = this.#services;
    return names.length === 0
      ? []
      : [...this.#options.directory.entries].filter(({ upstream }) =>
          names.includes(upstream.service),
        );
  }

  /** Records what an answer said; `sentAtMs`: when its request was sent. */
  recordAnswer(entry: UpstreamEntry, stated: StatedBrittleness, sentAtMs: number): void {
    const { service } = entry.upstream;
    if (stated.kind === 'invalid') {
      this.#invalidLog.add(entry, stated.text);
      return;
    }
    if (stated.kind === 'none') {
      const change = this.#services.noteWithout(service, sentAtMs);
      this.#onChange(change, service, { source: 'answer', upstream: entry.id });
      return;
    }
    const report = { rejectionsPerS: stated.rejectionsPerS, heardAtMs: performance.now() };
    const change = this.#services.note(service, report);
    this.#onChange(change, service, { source: 'answer', upstream: entry.id });
    if (change !== undefined) {
      this.#tell(service, report);
      setTimeout(() => this.#tell(service, report), REPEAT_DELAY_MS).unref();
    } else if (report.heardAtMs - (this.#toldAtMs.get(service) ?? -Infinity) >= RENEWAL_MS) {
      this.#tell(service, report);
    }
  }

  /** Applies what other daemons heard. */
  receive(news: readonly BrittleNews[]): void {
    const nowMs = performance.now();
    news.forEach(({ service, rejectionsPerS, heardAgoMs }) => {
      this.#toldAtMs.set(service, nowMs);
      const change = this.#services.note(service, {
        rejectionsPerS,
        heardAtMs: nowMs - heardAgoMs,
      });
      this.#onChange(change, service, { source: 'peer' });
    });
  }

  #tell(service: string, { rejectionsPerS, heardAtMs }: BrittleReport): void {
    const nowMs = performance.now();
    this.#toldAtMs.set(service, nowMs);
    this.#options.broadcast([{ service, rejectionsPerS, heardAgoMs: nowMs - heardAtMs }]);
  }

  #onChange(
    change: BrittleChange | undefined,
    service: string,
    origin: { readonly source: 'answer' | 'peer'; readonly upstream?: string },
  ): void {
    if (change === undefined) {
      return;
    }
    const rejectionsPerS = this.#services.getRejectionsPerS(service);
    this.#options.logger.info(
      { event: 'upstreamBrittle', change, service, rejectionsPerS, ...origin },
      'how many requests the upstreams of a service can turn away has changed',
    );
    if (change !== 'ended') {
      this.#options.onBrittle();
    }
  }
}
