/** Sums folded entries into bills. Pure. */
import type { UsageEntry } from '@snipehaven/protocol';
import type { BillingQuery, BillingRow } from './types.js';

/** Whether a folded entry falls under the query; the interval counts from settlement, end excluded. */
export const matchesQuery = (entry: UsageEntry, query: BillingQuery): boolean =>
  (query.team === undefined || entry.team === query.team) &&
  entry.settledAtMs >= (query.fromMs ?? -Infinity) &&
  entry.settledAtMs < (query.untilMs ?? Infinity);

const getRowKey = (row: BillingRow): string => JSON.stringify([row.team, row.teamUid, row.version]);

/** One entry's share of each version's row; a request counts once in each version that it ran on. */
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

/** One row for each team and version, in order of both. Entries without lines cost nothing. */
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
