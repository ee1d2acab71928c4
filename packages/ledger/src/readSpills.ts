/** Batches in the object store: how they are written there and read back. */
import type { ObjectStoreClient } from '@snipehaven/platform';
import { SPILL_PREFIX } from './constants.js';
import { LedgerDataError } from './errors.js';
import { restoreBatch, type LedgerBatch } from './ledgerRows.js';

/** A batch as the bytes of an object. */
export const encodeBatch = (batch: LedgerBatch): Uint8Array => Buffer.from(JSON.stringify(batch));

const decodeJson = (bytes: Uint8Array, name: string): unknown => {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'));
  } catch (cause) {
    throw new LedgerDataError(`${name} is not JSON`, { cause });
  }
};

/** Reads all spilled batches, in order of their names. */
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
