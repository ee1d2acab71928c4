/** What the daemons of all data centres report applied. */
import { createHash } from 'node:crypto';
import type { MembershipView } from '@snipehaven/membership';
import type { DataCentreReport, Member, RevisionGossip } from '@snipehaven/protocol';
import type { InForceStatus } from './types.js';

const TAG_LENGTH = 5;
const MAX_COUNTS = 6;
const MAX_BEHIND = 5;
/** So long a report that tells more counts more than a younger one. */
const TRUSTED_MS = 10_000;
/** Tags of the dead are dropped when there are more than this. */
const MAX_TAGS_PER_MEMBER = 4;
/** Old reports that each message repeats, so that a lost message is made good. */
const REPEATED_TAGS = 3;

interface AppliedRevision {
  readonly revision: number;
  readonly changedAtMs: number;
}

interface HeldReport {
  readonly report: DataCentreReport;
  /** When it was made, by this daemon's clock. */
  readonly madeAtMs: number;
  readonly changedAtMs: number;
}

type AppliedGroups = RevisionGossip['applied'];

/** A short name of an incarnation: the full one would take most of the control budget. */
const createTag = (incarnation: string): string =>
  createHash('sha256').update(incarnation).digest('base64url').slice(0, TAG_LENGTH);

const groupByRevision = (entries: readonly (readonly [string, number])[]): AppliedGroups => {
  const groups = new Map<number, string[]>();
  entries.forEach(([tag, revision]) => {
    groups.set(revision, [...(groups.get(revision) ?? []), tag]);
  });
  return [...groups].map(([revision, tags]) => ({ revision, tags }));
};

/** Counts by falling revision; the rarest low ones are folded into the lowest. */
const countRevisions = (revisions: readonly number[]): DataCentreReport['counts'] => {
  const sorted = [...new Set(revisions)].sort((a, b) => b - a);
  const kept = sorted.slice(0, MAX_COUNTS - 1);
  const rest = sorted.slice(MAX_COUNTS - 1);
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
 * A report made later by a daemon that has heard less of its neighbours must not replace one that tells
 * more, or the status would swing; but after a while the younger counts, since members come and go.
 */
const isBetter = (report: DataCentreReport, madeAtMs: number, held: HeldReport): boolean => {
  const gained = sumRevisions(report) - sumRevisions(held.report);
  const isHeldOld = Date.now() - held.madeAtMs > TRUSTED_MS;
  return gained === 0 || isHeldOld ? madeAtMs >= held.madeAtMs : gained > 0;
};

/**
 * Within a data centre each daemon's applied revision travels by gossip; between data centres only counts
 * by revision do, so that the traffic of 400 daemons stays within the control budget. All reports are lower
 * bounds of the truth, since applied revisions only rise.
 */
export class RevisionReports {
  readonly #membership: MembershipView;

  readonly #freshMs: number;

  /** Applied revisions of the own data centre by tag, self excluded. */
  readonly #applied = new Map<string, AppliedRevision>();

  readonly #reports = new Map<string, HeldReport>();

  /** Tags by incarnation, made once. */
  readonly #tags = new Map<string, string>();

  #repeatFrom = 0;

  #repeatedReport = 0;

  constructor(membership: MembershipView, freshMs: number) {
    this.#membership = membership;
    this.#freshMs = freshMs;
  }

  /** Notes what a member of the own data centre said about itself. */
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

  /** Keeps the better of two reports of another data centre. */
  observeReport(report: DataCentreReport): void {
    const madeAtMs = Date.now() - report.ageMs;
    const held = this.#reports.get(report.dataCentre);
    const isOwn = report.dataCentre === this.#membership.self.dataCentre;
    if (isOwn || (held && !isBetter(report, madeAtMs, held))) {
      return;
    }
    const changedAtMs = held && isSameReport(held.report, report) ? held.changedAtMs : Date.now();
    this.#reports.set(report.dataCentre, { report, madeAtMs, changedAtMs });
  }

  /** Applied revisions that changed lately, and some older ones in turn. */
  listRecentlyApplied(ownRevision: number): AppliedGroups {
    this.#dropDead();
    const nowMs = Date.now();
    const entries = [...this.#applied];
    const isFresh = ({ changedAtMs }: AppliedRevision): boolean =>
      nowMs - changedAtMs <= this.#freshMs;
    const fresh = entries.filter(([, applied]) => isFresh(applied));
    const repeated = this.#pickRepeated(entries.filter(([, applied]) => !isFresh(applied)));
    const own = [this.#getTag(this.#membership.self.incarnation), ownRevision] as const;
    const others = [...fresh, ...repeated].map(([tag, { revision }]) => [tag, revision] as const);
    return groupByRevision([own, ...others]);
  }

  /** Reports of the other data centres that changed lately, and one older one in turn. */
  listRecentReports(): readonly DataCentreReport[] {
    const nowMs = Date.now();
    const held = [...this.#reports.values()];
    const fresh = held.filter(({ changedAtMs }) => nowMs - changedAtMs <= this.#freshMs);
    const old = held.filter(({ changedAtMs }) => nowMs - changedAtMs > this.#freshMs);
    this.#repeatedReport += 1;
    const repeated = old.length > 0 ? [old[this.#repeatedReport % old.length]] : [];
    return [...fresh, ...repeated]
      .filter((entry) => entry !== undefined)
      .map(({ report, madeAtMs }) => ({ ...report, ageMs: Math.max(0, nowMs - madeAtMs) }));
  }

  /** The report of the own data centre. */
  buildOwnReport(ownRevision: number): DataCentreReport {
    const members = this.#listLocalRevisions(ownRevision);
    const revisions = members.map(({ revision }) => revision);
    const highest = Math.max(ownRevision, ...revisions);
    const behind = members
      .filter(({ revision }) => revision < highest)
      .map(({ incarnation }) => incarnation)
      .slice(0, MAX_BEHIND);
    const { dataCentre } = this.#membership.self;
    return { dataCentre, ageMs: 0, counts: countRevisions(revisions), behind };
  }

  /** How far a revision has come among all live members. */
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
    this.#repeatFrom += REPEATED_TAGS;
    const start = entries.length > 0 ? this.#repeatFrom % entries.length : 0;
    return [...entries.slice(start), ...entries.slice(0, start)].slice(0, REPEATED_TAGS);
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

  #dropDead(): void {
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

  /** Live members of each other data centre. */
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
