/** Collects the applied revisions reported by the daemons of all data centres. */
import { createHash } from 'node:crypto';
import type { MembershipView } from '@snipehaven/membership';
import type { DataCentreReport, Member, RevisionGossip } from '@snipehaven/protocol';
import type { InForceStatus } from './types.js';

const TAG_LENGTH = 5;
const MAX_REVISION_COUNTS = 6;
const MAX_BEHIND_LISTED = 5;
/** A report with higher revisions is preferred to a newer one for this long. */
const REPORT_PREFERENCE_MS = 10_000;
/**
 * The tag cache is cleared when it exceeds this multiple of the member count, to drop tags of dead
 * members.
 */
const MAX_TAGS_PER_MEMBER = 4;
/** Older entries repeated per message, to make up for lost messages. */
const REPEATED_TAGS_PER_MESSAGE = 3;

interface AppliedRevision {
  readonly revision: number;
  readonly changedAtMs: number;
}

interface ReceivedReport {
  readonly report: DataCentreReport;
  /** Creation time, converted to the local clock. */
  readonly createdAtMs: number;
  readonly changedAtMs: number;
}

type AppliedGroups = RevisionGossip['applied'];

/** Short identifier of an incarnation; full names would use most of the control-traffic budget. */
const createTag = (incarnation: string): string =>
  createHash('sha256').update(incarnation).digest('base64url').slice(0, TAG_LENGTH);

const groupByRevision = (entries: readonly (readonly [string, number])[]): AppliedGroups => {
  const groups = new Map<number, string[]>();
  entries.forEach(([tag, revision]) => {
    groups.set(revision, [...(groups.get(revision) ?? []), tag]);
  });
  return [...groups].map(([revision, tags]) => ({ revision, tags }));
};

/**
 * Counts daemons per revision, in descending order; the lowest revisions are combined under the
 * lowest one.
 */
const countRevisions = (revisions: readonly number[]): DataCentreReport['counts'] => {
  const sorted = [...new Set(revisions)].sort((a, b) => b - a);
  const kept = sorted.slice(0, MAX_REVISION_COUNTS - 1);
  const rest = sorted.slice(MAX_REVISION_COUNTS - 1);
  const count = (wanted: readonly number[]): number =>
    revisions.filter((revision) => wanted.includes(revision)).length;
  const counts = kept.map((revision) => ({ revision, count: count([revision]) }));
  const lowest = rest.at(-1);
  return lowest === undefined ? counts : [...counts, { revision: lowest, count: count(rest) }];
};

const isSameReport = (a: DataCentreReport | undefined, b: DataCentreReport): boolean =>
  a !== undefined && JSON.stringify([a.counts, a.behind]) === JSON.stringify([b.counts, b.behind]);

const sumRevisions = ({ counts }: DataCentreReport): number =>
  counts.reduce((sum, { revision, count }) => sum + revision * count, 0);

/**
 * A newer report from a daemon that has heard less from its peers must not replace a report with
 * higher revisions, otherwise the status would fluctuate. After `REPORT_PREFERENCE_MS` the newer
 * report wins, because members come and go.
 */
const shouldReplaceReport = (
  report: DataCentreReport,
  createdAtMs: number,
  held: ReceivedReport,
): boolean => {
  const gained = sumRevisions(report) - sumRevisions(held.report);
  const isHeldOld = Date.now() - held.createdAtMs > REPORT_PREFERENCE_MS;
  return gained === 0 || isHeldOld ? createdAtMs >= held.createdAtMs : gained > 0;
};

/**
 * Within a data centre, gossip carries the applied revision of each daemon. Between data centres it
 * carries only the number of daemons per revision, which keeps the traffic of 400 daemons within
 * the control budget. All reports are lower bounds, because applied revisions only increase.
 */
export class RevisionReports {
  readonly #membership: MembershipView;

  readonly #repeatMs: number;

  /** Applied revisions of this data centre by tag, without this daemon. */
  readonly #applied = new Map<string, AppliedRevision>();

  readonly #reports = new Map<string, ReceivedReport>();

  /** Cached tags by incarnation. */
  readonly #tags = new Map<string, string>();

  #repeatCursor = 0;

  #reportCursor = 0;

  constructor(membership: MembershipView, repeatMs: number) {
    this.#membership = membership;
    this.#repeatMs = repeatMs;
  }

  /** Records the revision that a member of this data centre reported for itself. */
  observeMember({ dataCentre, incarnation }: Member, revision: number): void {
    if (dataCentre === this.#membership.self.dataCentre) {
      this.#observeTag(this.#getTag(incarnation), revision);
    }
  }

  observeApplied(groups: AppliedGroups): void {
    const live = this.#listLiveTags();
    groups.forEach(({ revision, tags }) =>
      tags.filter((tag) => live.has(tag)).forEach((tag) => this.#observeTag(tag, revision)),
    );
  }

  /** Keeps the preferred one of two reports of a remote data centre. */
  observeReport(report: DataCentreReport): void {
    const createdAtMs = Date.now() - report.ageMs;
    const held = this.#reports.get(report.dataCentre);
    const isOwn = report.dataCentre === this.#membership.self.dataCentre;
    if (isOwn || (held && !shouldReplaceReport(report, createdAtMs, held))) {
      return;
    }
    const changedAtMs = held && isSameReport(held.report, report) ? held.changedAtMs : Date.now();
    this.#reports.set(report.dataCentre, { report, createdAtMs, changedAtMs });
  }

  /** Recently changed applied revisions, and some older ones in rotation. */
  listRecentlyApplied(ownRevision: number): AppliedGroups {
    this.#removeDeadTags();
    const nowMs = Date.now();
    const entries = [...this.#applied];
    const isFresh = ({ changedAtMs }: AppliedRevision): boolean =>
      nowMs - changedAtMs <= this.#repeatMs;
    const fresh = entries.filter(([, applied]) => isFresh(applied));
    const repeated = this.#pickRepeated(entries.filter(([, applied]) => !isFresh(applied)));
    const own = [this.#getTag(this.#membership.self.incarnation), ownRevision] as const;
    const others = [...fresh, ...repeated].map(([tag, { revision }]) => [tag, revision] as const);
    return groupByRevision([own, ...others]);
  }

  /** Recently changed reports of remote data centres, and one older report in rotation. */
  listRecentReports(): readonly DataCentreReport[] {
    const nowMs = Date.now();
    const held = [...this.#reports.values()];
    const fresh = held.filter(({ changedAtMs }) => nowMs - changedAtMs <= this.#repeatMs);
    const old = held.filter(({ changedAtMs }) => nowMs - changedAtMs > this.#repeatMs);
    this.#reportCursor += 1;
    const repeated = old.length > 0 ? [old[this.#reportCursor % old.length]] : [];
    return [...fresh, ...repeated]
      .filter((entry) => entry !== undefined)
      .map(({ report, createdAtMs }) => ({ ...report, ageMs: Math.max(0, nowMs - createdAtMs) }));
  }

  /** Builds the report of this data centre. */
  buildOwnReport(ownRevision: number): DataCentreReport {
    const members = this.#listLocalRevisions(ownRevision);
    const revisions = members.map(({ revision }) => revision);
    const highest = Math.max(ownRevision, ...revisions);
    const behind = members
      .filter(({ revision }) => revision < highest)
      .map(({ incarnation }) => incarnation)
      .slice(0, MAX_BEHIND_LISTED);
    const { dataCentre } = this.#membership.self;
    return { dataCentre, ageMs: 0, counts: countRevisions(revisions), behind };
  }

  /** Propagation of a revision among all live members. */
  getInForce(revision: number, ownRevision: number): InForceStatus {
    const local = this.#listLocalRevisions(ownRevision);
    const behindLocal = local.filter((member) => member.revision < revision);
    const remote = this.#countRemote();
    const reports = [...remote.keys()].flatMap((dataCentre) => {
      const held = this.#reports.get(dataCentre);
      return held ? [held.report] : [];
    });
    const appliedRemote = reports.map((report) =>
      Math.min(remote.get(report.dataCentre) ?? 0, RevisionReports.#countApplied(report, revision)),
    );
    const remoteTotal = [...remote.values()].reduce((sum, count) => sum + count, 0);
    const minRemote = reports.flatMap(({ counts }) => counts.map((entry) => entry.revision));
    const hasUnknown = reports.length < remote.size;
    return {
      revision,
      totalDaemons: local.length + remoteTotal,
      appliedDaemons:
        local.length - behindLocal.length + appliedRemote.reduce((sum, count) => sum + count, 0),
      minRevision: hasUnknown
        ? 0
        : Math.min(ownRevision, ...local.map((member) => member.revision), ...minRemote),
      behind: [
        ...behindLocal.map(({ incarnation }) => incarnation),
        ...reports
          .filter((report) => RevisionReports.#hasBehind(report, revision))
          .flatMap(({ behind }) => behind),
      ],
    };
  }

  static #countApplied({ counts }: DataCentreReport, revision: number): number {
    return counts
      .filter((entry) => entry.revision >= revision)
      .reduce((sum, { count }) => sum + count, 0);
  }

  static #hasBehind({ counts }: DataCentreReport, revision: number): boolean {
    return counts.some((entry) => entry.revision < revision);
  }

  #getTag(incarnation: string): string {
    const known = this.#tags.get(incarnation) ?? createTag(incarnation);
    this.#tags.set(incarnation, known);
    return known;
  }

  #observeTag(tag: string, revision: number): void {
    const held = this.#applied.get(tag);
    if (!held || revision > held.revision) {
      this.#applied.set(tag, { revision, changedAtMs: Date.now() });
    }
  }

  #pickRepeated<Entry>(entries: readonly Entry[]): readonly Entry[] {
    this.#repeatCursor += REPEATED_TAGS_PER_MESSAGE;
    const start = entries.length > 0 ? this.#repeatCursor % entries.length : 0;
    return [...entries.slice(start), ...entries.slice(0, start)].slice(
      0,
      REPEATED_TAGS_PER_MESSAGE,
    );
  }

  #listLiveTags(): ReadonlySet<string> {
    const { self } = this.#membership;
    return new Set(
      this.#membership
        .listLocal()
        .filter(({ incarnation }) => incarnation !== self.incarnation)
        .map(({ incarnation }) => this.#getTag(incarnation)),
    );
  }

  #removeDeadTags(): void {
    const live = this.#listLiveTags();
    if (this.#tags.size > MAX_TAGS_PER_MEMBER * (live.size + 1)) {
      this.#tags.clear();
    }
    [...this.#applied.keys()]
      .filter((tag) => !live.has(tag))
      .forEach((tag) => this.#applied.delete(tag));
  }

  #listLocalRevisions(
    ownRevision: number,
  ): readonly { readonly incarnation: string; readonly revision: number }[] {
    const { self } = this.#membership;
    return this.#membership.listLocal().map(({ incarnation }) => ({
      incarnation,
      revision:
        incarnation === self.incarnation
          ? ownRevision
          : (this.#applied.get(this.#getTag(incarnation))?.revision ?? 0),
    }));
  }

  /** Number of live members per remote data centre. */
  #countRemote(): ReadonlyMap<string, number> {
    const { self } = this.#membership;
    const counts = new Map<string, number>();
    this.#membership
      .listAlive()
      .filter(({ dataCentre }) => dataCentre !== self.dataCentre)
      .forEach(({ dataCentre }) => counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1));
    return counts;
  }
}
