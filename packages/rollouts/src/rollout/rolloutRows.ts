/** The state of roll-outs in the platform's table, written only under a lease. */
import { LEASE_PREFIX } from '@snipehaven/membership';
import { type TableClient, type TableCondition, type TableRow } from '@snipehaven/platform';
import type { RolloutProgress } from '@snipehaven/policy';
import { rolloutProgressSchema } from '@snipehaven/protocol';
import { z } from 'zod';
import { ROLLOUT_PREFIX, SAFE_MOVE_ROW_PREFIX } from '../constants.js';
import { RolloutRowMalformedError } from '../errors.js';

const leaseSchema = z.object({ fence: z.number() });
const moveSchema = z.object({ isActive: z.boolean() });

const getRowKey = (name: string): string => `${ROLLOUT_PREFIX}${name}`;

/** The name of the lease under which a roll-out's state is written. */
export const getLeaseName = (name: string): string => `${ROLLOUT_PREFIX}${name}`;

const getLeaseRowKey = (name: string): string => `${LEASE_PREFIX}${getLeaseName(name)}`;

const listMoveKeys = (version: string): readonly string[] =>
  ['withdraw', 'quarantine'].map((kind) => `${SAFE_MOVE_ROW_PREFIX}${kind}/${version}`);

/** What the table holds about a roll-out. */
export interface StoredRollout {
  readonly progress: RolloutProgress | undefined;
  readonly version: number;
}

/** What a write is to hold under. */
export interface RolloutWrite {
  readonly name: string;
  readonly progress: RolloutProgress;
  /** Version of the row that the write follows. */
  readonly version: number;
  /** Whether more traffic may come of it: then the version must bear no mark. */
  readonly raisedVersion?: string;
}

/** `refused`: another holder, another write or a mark stands against it. */
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
      : { progress: this.#restore(row), version: row.version };
  }

  /**
   * Writes the state while the lease's row still bears the fence, the row is as the writer knows it and, for
   * a raise, no mark is on the version. All are conditions of the one transaction.
   *
   * What goes wrong: a holder is frozen between its last look at the lease and its write; it wakes after
   * the lease went to another and raises a share that the other has halted, or that an operator's
   * withdrawal has ended. One notices a share that moves under two fences. The conditions make the
   * table refuse the late write, in whichever order they came. A write whose reply was lost makes the
   * holder's next one be refused, and it then reads what is there.
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
    const moveKeys = write.raisedVersion === undefined ? [] : listMoveKeys(write.raisedVersion);
    const rows = await this.#table.read([leaseKey, ...moveKeys]);
    const byKey = new Map(rows.map((row) => [row.key, row]));
    const lease = leaseSchema.safeParse(byKey.get(leaseKey)?.value);
    const isMarked = moveKeys.some(
      (key) => moveSchema.safeParse(byKey.get(key)?.value).data?.isActive === true,
    );
    if (lease.data?.fence !== write.progress.fence || isMarked) {
      return undefined;
    }
    const unchanged = [leaseKey, ...moveKeys].map((key) => ({
      key,
      version: byKey.get(key)?.version ?? 0,
    }));
    return [{ key: getRowKey(write.name), version: write.version }, ...unchanged];
  }

  #restore(row: TableRow): RolloutProgress {
    const result = rolloutProgressSchema.safeParse(row.value);
    if (!result.success) {
      throw new RolloutRowMalformedError(row.key, { cause: result.error });
    }
    return result.data;
  }
}
