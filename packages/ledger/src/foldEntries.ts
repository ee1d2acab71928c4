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

/** What makes two entries the same bill. */
export const getEntryKey = (entry: Pick<UsageEntry, 'teamUid' | 'requestKey'>): string =>
  `${entry.teamUid}${KEY_SEPARATOR}${entry.requestKey}`;

const compareTexts = (a: string, b: string): number => {
  if (a === b) {
    return 0;
  }
  return a < b ? -1 : 1;
};

/** An entry's whole content as text, independent of the order of its fields. */
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
 * The order of entries with one key; the first one is billed. Answered comes before partial before
 * unanswered: the caller did get that answer. Then the owner's own word comes before an adopter's,
 * more lines (more is known) before fewer, the earlier settlement before the later. Request id,
 * settler and content break the ties, so the order is total and every reader finds the same winner.
 */
export const compareEntries = (a: UsageEntry, b: UsageEntry): number =>
  OUTCOME_RANK[a.outcome] - OUTCOME_RANK[b.outcome] ||
  Number(a.isAdopted) - Number(b.isAdopted) ||
  b.lines.length - a.lines.length ||
  a.settledAtMs - b.settledAtMs ||
  compareTexts(a.requestId, b.requestId) ||
  compareTexts(a.settledBy, b.settledBy) ||
  compareTexts(getEntryText(a), getEntryText(b));

/** The winners by key. Idempotent, commutative and associative. */
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
