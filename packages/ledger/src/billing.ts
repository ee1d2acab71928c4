/** Sums folded entries into bills. */
import type { UsageEntry } from '@snipehaven/protocol';
import type { BillingQuery, BillingRow } from './types.js';

/** Whether a folded entry matches the query, by settlement time with an exclusive end. */
export const matchesQuery = (entry: UsageEntry, query: BillingQuery): boolean =>
  (query.team === undefined || entry.team === query.team) &&
  entry.settledAtMs >= (query.fromMs ?? -Infinity) &&
  entry.settledAtMs < (query.untilMs ?? Infinity);

const getRowKey = (row: BillingRow): string => JSON.stringify([row.team, row.teamUid, row.version]);

/** Splits an entry into one row per version; a request counts once for each version that it ran on. */
const splitByVersion = (entry: UsageEntry): readonly BillingRow[] => {
  const versions = [...new Set(entry.lines.map((line) => line.version))];
  return versions.map((version) => {
    const lines = entry.lines.filter((line) => line.version === version);
    const sum = (pick: (line: UsageEntry['lines'][number]) => number): number =>
      lines.reduce((total, line) => total + pick(line), 0);
    return {
      team: entry.team,
      teamUid: entry.teamUid,
      version,
      requests: 1,
      promptTokens: sum((line) => line.promptTokens),
      completionTokens: sum((line) => line.completionTokens),
      costMicroUsd: sum((line) => line.costMicroUsd),
    };
  });
};

const addRows = (a: BillingRow, b: BillingRow): BillingRow => ({
  ...a,
  requests: a.requests + b.requests,
  promptTokens: a.promptTokens + b.promptTokens,
  completionTokens: a.completionTokens + b.completionTokens,
  costMicroUsd: a.costMicroUsd + b.costMicroUsd,
});

/** Returns one row per team and version, sorted by both. Entries without lines cost nothing. */
export const sumBilling = (entries: Iterable<UsageEntry>): readonly BillingRow[] => {
  const rows = new Map<string, BillingRow>();
  for (const entry of entries) {
    splitByVersion(entry).forEach((row) => {
      const key = getRowKey(row);
      const present = rows.get(key);
      rows.set(key, present ? addRows(present, row) : row);
    });
  }
  return [...rows.keys()].sort().map((key) => rows.get(key) as BillingRow);
};
