/** Writes rows in quick succession and measures how late daemons know each of them. */
import type { DaemonFleet, FleetMember } from './daemonFleet.js';

const ROW_INTERVAL_MS = 80;
const STEP_MS = 20;

/** Rows that are not known by then count as if they were known at this time. */
const MAX_DELAY_MS = 10_000;

export interface RowSeries {
  readonly table: string;
  readonly rows: number;
  /** Called after each step with the time since the first row. */
  readonly onStep?: (passedMs: number) => Promise<void>;
  /** The daemons that serve callers at present. */
  listServing(): readonly FleetMember[];
}

interface PendingRow {
  readonly key: string;
  readonly putAtMs: number;
}

/** Maximum time from a row's write until all serving daemons know it, in ms. */
export const measureMaxDelayMs = async (
  fleet: DaemonFleet,
  { table, rows, listServing, onStep }: RowSeries,
): Promise<number> => {
  const startedAtMs = performance.now();
  const getPassedMs = (): number => performance.now() - startedAtMs;
  const isKnown = ({ key }: PendingRow): boolean =>
    listServing().every(({ tables }) => tables.some(({ known }) => known.has(key)));
  let pending: readonly PendingRow[] = [];
  let written = 0;
  let maxDelayMs = 0;
  while (written < rows || pending.length > 0) {
    if (written < rows && getPassedMs() >= written * ROW_INTERVAL_MS) {
      const key = `row-${written}`;
      fleet.store.put(key, table);
      pending = [...pending, { key, putAtMs: performance.now() }];
      written += 1;
    }
    await fleet.advance(STEP_MS);
    await onStep?.(getPassedMs());
    const nowMs = performance.now();
    const delaysMs = pending.map(({ putAtMs }) => nowMs - putAtMs);
    maxDelayMs = Math.max(maxDelayMs, ...delaysMs);
    if (maxDelayMs >= MAX_DELAY_MS) {
      return maxDelayMs;
    }
    pending = pending.filter((row) => !isKnown(row));
  }
  return maxDelayMs;
};
