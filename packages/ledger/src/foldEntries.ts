/**
 * The fold of ledger entries into bills: a set union by (team uid, request key) that keeps one
 * winner of each key, so an entry written twice, or by several writers, is billed once.
 */
import type { UsageEntry } from '@snipehaven/protocol';

const OUTCOME_RANK: Readonly<Record<UsageEntry['outcome'], number>> = {
  answered: 0,
  partial: 1,
  unanswered: 2,
};

const KEY_SEPARATOR = '\u0000';

/** Key under which entries are billed once. */
export const getEntryKey = (entry: Pick<UsageEntry, 'teamUid' | 'requestKey'>): string =>
  `${entry.teamUid}${KEY_SEPARATOR}${entry.requestKey}`;

const compareTexts = (a: string, b: string): number => {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
};

/** Serializes an entry's content independently of its field order. */
export const getEntryText = (entry: UsageEntry): string =>
  JSON.stringify([
    entry.requestId,
    entry.requestKey,
    entry.team,
    entry.teamUid,
    entry.openedAtMs,
    entry.settledAtMs,
    entry.outcome,
    entry.lines.map((line) => [
      line.streamId,
      line.version,
      line.upstream,
      line.promptTokens,
      line.completionTokens,
      line.costMicroUsd,
    ]),
    entry.costMicroUsd,
    entry.settledBy,
    entry.isAdopted,
  ]);

/**
 * Orders entries with the same key; the first one is billed. Answered precedes partial and unanswered,
 * because the caller did get that answer. Then entries of the owner precede those of an adopter, more
 * lines (more is known) precede fewer, and earlier settlements later ones. Request id, settler and
 * content break ties, so the order is total and all readers choose the same winner.
 */
export const compareEntries = (a: UsageEntry, b: UsageEntry): number =>
  OUTCOME_RANK[a.outcome] - OUTCOME_RANK[b.outcome] ||
  Number(a.isAdopted) - Number(b.isAdopted) ||
  b.lines.length - a.lines.length ||
  a.settledAtMs - b.settledAtMs ||
  compareTexts(a.requestId, b.requestId) ||
  compareTexts(a.settledBy, b.settledBy) ||
  compareTexts(getEntryText(a), getEntryText(b));

/** Returns the winning entry of each key. Idempotent, commutative and associative. */
export const foldEntries = (entries: Iterable<UsageEntry>): ReadonlyMap<string, UsageEntry> => {
  const winners = new Map<string, UsageEntry>();
  for (const entry of entries) {
    const key = getEntryKey(entry);
    const present = winners.get(key);
    if (present === undefined || compareEntries(entry, present) < 0) {
      winners.set(key, entry);
    }
  }
  return winners;
};
