/** Stores roll-out state in the table; all writes require the lease. */
import { LEASE_PREFIX } from '@snipehaven/membership';
import { type TableClient, type TableCondition, type TableRow } from '@snipehaven/platform';
import type { RolloutProgress } from '@snipehaven/policy';
import { rolloutProgressSchema } from '@snipehaven/protocol';
import { z } from 'zod';
import { ROLLOUT_PREFIX, SAFE_MOVE_ROW_PREFIX } from '../constants.js';
import { RolloutRowMalformedError } from '../errors.js';

const leaseSchema = z.object({ fence: z.number() });
const safeMoveSchema = z.object({ isActive: z.boolean() });

const getRowKey = (name: string): string => `${ROLLOUT_PREFIX}${name}`;

/** Name of the lease that protects the state of a roll-out. */
export const getLeaseName = (name: string): string => `${ROLLOUT_PREFIX}${name}`;

const getLeaseRowKey = (name: string): string => `${LEASE_PREFIX}${getLeaseName(name)}`;

const listSafeMoveKeys = (version: string): readonly string[] =>
  ['withdraw', 'quarantine'].map((kind) => `${SAFE_MOVE_ROW_PREFIX}${kind}/${version}`);

/** Stored state of a roll-out. */
export interface StoredRollout {
  readonly progress: RolloutProgress | undefined;
  readonly version: number;
}

/** A conditional write of roll-out state. */
export interface RolloutWrite {
  readonly name: string;
  readonly progress: RolloutProgress;
  /** Row version that the write expects. */
  readonly version: number;
  /**
   * Set if the version may receive more traffic; the write then also requires that it is neither
   * withdrawn nor quarantined.
   */
  readonly promotedVersion?: string;
}

/**
 * `refused`: another holder, a concurrent write, or a withdrawal or quarantine of the version
 * prevents the write.
 */
export type RolloutWriteResult =
  { readonly kind: 'written'; readonly version: number } | { readonly kind: 'refused' };

const refused: RolloutWriteResult = { kind: 'refused' };

export class RolloutRows {
  readonly #table: TableClient;

  constructor(table: TableClient) {
    this.#table = table;
  }

  async read(name: string): Promise<StoredRollout> {
    const [row] = await this.#table.read([getRowKey(name)]);
    return row === undefined
      ? { progress: undefined, version: 0 }
      : { progress: this.#parse(row), version: row.version };
  }

  /**
   * Writes the state in one transaction, on condition that the lease row still has the same fence,
   * the state row is unchanged and, if the version may receive more traffic, it is not withdrawn or
   * quarantined.
   *
   * Without these conditions, a holder that freezes between checking its lease and writing could
   * wake up after the lease has moved, and advance a roll-out that the new holder has halted or an
   * operator has withdrawn; the share would then change under two fences. The table refuses such a
   * late write in whichever order the writes arrive. If the reply to a write is lost, the next
   * write of the holder is refused and it rereads the stored state.
   */
  async write(write: RolloutWrite): Promise<RolloutWriteResult> {
    const conditions = await this.#findConditions(write);
    if (conditions === undefined) {
      return refused;
    }
    const key = getRowKey(write.name);
    const writes = [{ key, value: write.progress }];
    const [result] = await this.#table.transact([{ conditions, writes }]);
    return result?.kind === 'committed'
      ? { kind: 'written', version: result.versions[0]?.version ?? 0 }
      : refused;
  }

  async #findConditions(write: RolloutWrite): Promise<readonly TableCondition[] | undefined> {
    const leaseKey = getLeaseRowKey(write.name);
    const safeMoveKeys =
      write.promotedVersion === undefined ? [] : listSafeMoveKeys(write.promotedVersion);
    const rows = await this.#table.read([leaseKey, ...safeMoveKeys]);
    const byKey = new Map(rows.map((row) => [row.key, row]));
    const lease = leaseSchema.safeParse(byKey.get(leaseKey)?.value);
    const isRestricted = safeMoveKeys.some(
      (key) => safeMoveSchema.safeParse(byKey.get(key)?.value).data?.isActive === true,
    );
    if (lease.data?.fence !== write.progress.fence || isRestricted) {
      return undefined;
    }
    const unchanged = [leaseKey, ...safeMoveKeys].map((key) => ({
      key,
      version: byKey.get(key)?.version ?? 0,
    }));
    return [{ key: getRowKey(write.name), version: write.version }, ...unchanged];
  }

  #parse(row: TableRow): RolloutProgress {
    const result = rolloutProgressSchema.safeParse(row.value);
    if (!result.success) {
      throw new RolloutRowMalformedError(row.key, { cause: result.error });
    }
    return result.data;
  }
}
