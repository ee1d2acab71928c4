/**
 * Persists safe moves in the table, one row each; a row is only ever replaced by the result of a
 * merge.
 */
import { getErrorMessage, type Logger, type Random } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { TableClient, TableRow } from '@snipehaven/platform';
import { safeMoveSchema, type SafeMove } from '@snipehaven/protocol';
import { getBackoffMs, runRepeatedly } from '../backoff.js';
import { SAFE_MOVE_PREFIX, type ConfigurationSettings } from '../constants.js';
import { checkFormat } from '../restoreChange.js';
import { scanAll } from '../tableReader.js';
import { compareSafeMoves } from './joinSafeMoves.js';
import type { SafeMoveState } from './safeMoveState.js';

export interface SafeMoveTableOptions {
  readonly table: TableClient;
  readonly state: SafeMoveState;
  readonly membership: MembershipView;
  readonly random: Random;
  readonly logger: Logger;
  readonly settings: ConfigurationSettings;
  /** Sends moves and their durability to the peers. */
  readonly broadcast: (keys: readonly string[]) => void;
}

export interface StoredSafeMove {
  readonly move: SafeMove | undefined;
  readonly rowVersion: number;
}

const SCAN_DUTY = 'safeMoveScan';
/** The owner of the scan duty loads all rows once in this many repair runs. */
const REPAIRS_PER_SCAN = 5;

const parseRow = (row: TableRow): SafeMove =>
  checkFormat(row.key, () => safeMoveSchema.parse(row.value));

/** Methods pass errors of the platform through unchanged. */
export class SafeMoveTable {
  readonly #options: SafeMoveTableOptions;

  /** Moves accepted by this daemon, which it persists even without owning the duty. */
  readonly #accepted = new Set<string>();

  #repairCount = 0;

  #failures = 0;

  constructor(options: SafeMoveTableOptions) {
    this.#options = options;
  }

  markAccepted(key: string): void {
    this.#accepted.add(key);
  }

  /** Merges all rows into the state. */
  async load(): Promise<void> {
    const { table, state } = this.#options;
    const rows = await scanAll(table, SAFE_MOVE_PREFIX);
    const moves = rows.map(parseRow);
    state.merge({ moves, durableKeys: moves.map(({ key }) => key) });
  }

  /** Reads one row and merges it into the state. */
  async read(key: string): Promise<StoredSafeMove> {
    const [row] = await this.#options.table.read([`${SAFE_MOVE_PREFIX}${key}`]);
    if (!row) {
      return { move: undefined, rowVersion: 0 };
    }
    const move = parseRow(row);
    this.#options.state.merge({ moves: [move], durableKeys: [key] });
    return { move, rowVersion: row.version };
  }

  /** Writes a move if the row version is unchanged; returns whether it was written. */
  async write(move: SafeMove, rowVersion: number): Promise<boolean> {
    const key = `${SAFE_MOVE_PREFIX}${move.key}`;
    const [result] = await this.#options.table.transact([
      { conditions: [{ key, version: rowVersion }], writes: [{ key, value: move }] },
    ]);
    if (result?.kind !== 'committed') {
      return false;
    }
    this.#options.state.markDurable(move);
    return true;
  }

  /** Persists a known move: merges with the row and retries until the row contains the result. */
  async persist(key: string): Promise<void> {
    const { state, broadcast } = this.#options;
    for (;;) {
      const stored = await this.read(key);
      const status = state.get(key);
      if (!status) {
        return;
      }
      const isStored = stored.move && compareSafeMoves(stored.move, status.move) === 0;
      if (isStored || (await this.write(status.move, stored.rowVersion))) {
        this.#accepted.delete(key);
        broadcast([key]);
        return;
      }
    }
  }

  /**
   * Persists moves that an outage kept out of the table, and loads moves known only to the table.
   */
  run(signal: AbortSignal): Promise<void> {
    return runRepeatedly(async () => {
      try {
        await this.#repair();
        this.#failures = 0;
      } catch (error) {
        this.#failures += 1;
        this.#options.logger.warn(
          { fault: getErrorMessage(error) },
          'could not write safe moves to the table yet',
        );
      }
      return this.#getWaitMs();
    }, signal);
  }

  async #repair(): Promise<void> {
    const { state, membership } = this.#options;
    this.#repairCount += 1;
    const keys = state.listNotDurableKeys().filter((key) => this.#mustPersist(key));
    for (const key of keys) {
      await this.persist(key);
    }
    if (this.#repairCount % REPAIRS_PER_SCAN === 0 && membership.ownsDuty(SCAN_DUTY)) {
      await this.load();
    }
  }

  /**
   * The daemon that accepted a move may be gone when the table is available again, so the owner of
   * the duty persists it too.
   */
  #mustPersist(key: string): boolean {
    return this.#accepted.has(key) || this.#options.membership.ownsDuty(`safeMove/${key}`);
  }

  #getWaitMs(): number {
    const { settings, random } = this.#options;
    const { safeMoveRepairMs, maxPollBackoffMs } = settings;
    return getBackoffMs(this.#failures, safeMoveRepairMs, maxPollBackoffMs, random);
  }
}
