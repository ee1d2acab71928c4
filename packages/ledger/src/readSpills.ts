/** Encodes and reads batches in the object store. */
import type { ObjectStoreClient } from '@snipehaven/platform';
import { SPILL_PREFIX } from './constants.js';
import { LedgerDataError } from './errors.js';
import { restoreBatch, type LedgerBatch } from './ledgerRows.js';

/** Encodes a batch as object content. */
export const encodeBatch = (batch: LedgerBatch): Uint8Array => Buffer.from(JSON.stringify(batch));

const decodeJson = (bytes: Uint8Array, name: string): unknown => {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'));
  } catch (cause) {
    throw new LedgerDataError(`${name} is not JSON`, { cause });
  }
};

/** Reads all spilled batches, ordered by name. */
export const readSpills = async (store: ObjectStoreClient): Promise<readonly LedgerBatch[]> => {
  const batches: LedgerBatch[] = [];
  for (const name of await store.list(SPILL_PREFIX)) {
    const bytes = await store.get(name);
    if (bytes) {
      batches.push(restoreBatch(decodeJson(bytes, name), name));
    }
  }
  return batches;
};
