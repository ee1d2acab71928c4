/** Reads the bills of a run from the platform alone, as an auditor would. */
import { TableLedgerReader } from '@snipehaven/ledger';
import { HttpObjectStoreClient, HttpTableClient } from '@snipehaven/platform';
import type { StandinAddresses } from '@snipehaven/standins';
import { getFinalEnd, type CallRecord } from './workload/callRecord.js';
import { getCallerKey } from './workload/oracle.js';

const BILLS_TIMEOUT_MS = 60_000;
const BILLS_POLL_MS = 1_000;

/** The folded ledger. */
export const readLedger = (
  addresses: StandinAddresses,
): ReturnType<TableLedgerReader['listEntries']> =>
  new TableLedgerReader({
    table: new HttpTableClient(addresses.tableUrl ?? ''),
    objectStore: new HttpObjectStoreClient(addresses.objectStoreUrl ?? ''),
  }).listEntries({});

/**
 * Waits until all answered requests are billed; false when some bills are missing after a minute. The
 * bills of a killed daemon come when its peer has adopted them.
 */
export const waitForBills = async (
  addresses: StandinAddresses,
  records: readonly CallRecord[],
): Promise<boolean> => {
  const answered = records.filter((record) => getFinalEnd(record)?.kind === 'answered');
  const giveUpAtMs = Date.now() + BILLS_TIMEOUT_MS;
  while (Date.now() < giveUpAtMs) {
    const entries = await readLedger(addresses);
    const billed = new Set(entries.map((entry) => getCallerKey(entry.requestKey)));
    if (answered.every((record) => billed.has(record.item.key))) {
      return true;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, BILLS_POLL_MS);
    });
  }
  return false;
};
