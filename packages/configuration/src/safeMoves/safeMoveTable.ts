/** Safe moves in the table: one row each, which only a join changes. */
import { getErrorMessage, type Logger, type Random } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { TableClient, TableRow } from '@snipehaven/platform';
import { safeMoveSchema, type SafeMove } from '@snipehaven/protocol';
import { getBackoffMs, runRepeatedly } from '../backoff.js';
import { SAFE_MOVE_PREFIX, type ConfigurationSettings } from '../constants.js';
import { guardForm } from '../restoreChange.js';
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
  /** Tells the peers of moves and of their durability. */
  readonly spread: (keys: readonly string[]) => void;
}

/** A row as read. */
export interface StoredSafeMove {
  readonly move: SafeMove | undefined;
  readonly rowVersion: number;
}

const SCAN_DUTY = 'safeMoveScan';
/** The duty's owner scans in one of so many rounds. */
const ROUNDS_PER_SCAN = 5;

const restoreRow = (row: TableRow): SafeMove =>
  guardForm(row.key, () => safeMoveSchema.parse(row.value));

/** Methods throw the platform's errors as they come. */
export class SafeMoveTable {
  readonly #options: SafeMoveTableOptions;

  /** Moves accepted here, which this daemon writes whoever owns the duty. */
  readonly #accepted = new Set<string>();

  #round = 0;

  #failures = 0;

  constructor(options: SafeMoveTableOptions) {
    this.#options = options;
  }

  noteAccepted(key: string): void {
    this.#accepted.add(key);
  }

  /** Joins all rows into the state. */
  async load(): Promise<void> {
    const { table, state } = this.#options;
    const rows = await scanAll(table, SAFE_MOVE_PREFIX);
    const moves = rows.map(restoreRow);
    state.merge({ moves, durableKeys: moves.map(({ key }) => key) });
  }

  /** Reads one row and joins it into the state. */
  async read(key: string): Promise<StoredSafeMove> {
    const [row] = await this.#options.table.read([`${SAFE_MOVE_PREFIX}${key}`]);
    if (!row) {
      return { move: undefined, rowVersion: 0 };
    }
    const move = restoreRow(row);
    this.#options.state.merge({ moves: [move], durableKeys: [key] });
    return { move, rowVersion: row.version };
  }

  /** Writes a move if the row is still at the version; returns whether it was written. */
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

  /** Brings a known move into the table: joins with the row until the row holds the outcome. */
  async persist(key: string): Promise<void> {
    const { state, spread } = this.#options;
    for (;;) {
      const stored = await this.read(key);
      const status = state.get(key);
      if (!status) {
        return;
      }
      const isStored = stored.move && compareSafeMoves(stored.move, status.move) === 0;
      if (isStored || (await this.write(status.move, stored.rowVersion))) {
        this.#accepted.delete(key);
        spread([key]);
        return;
      }
    }
  }

  /** Writes what an outage kept out of the table, and finds what only the table knows. */
  run(signal: AbortSignal): Promise<void> {
    return runRepeatedly(async () => {
      try {
        await this.#repair();
        this.#failures = 0;
      } catch (error) {
        this.#failures += 1;
        this.#options.logger.warn({ fault: getErrorMessage(error) }, 'safe moves not durable yet');
      }
      return this.#getWaitMs();
    }, signal);
  }

  async #repair(): Promise<void> {
    const { state, membership } = this.#options;
    this.#round += 1;
    const keys = state.listNotDurableKeys().filter((key) => this.#isMine(key));
    for (const key of keys) {
      await this.persist(key);
    }
    if (this.#round % ROUNDS_PER_SCAN === 0 && membership.ownsDuty(SCAN_DUTY)) {
      await this.load();
    }
  }

  /** A daemon that accepted a move may be gone before the table is back; a duty stands in for it. */
  #isMine(key: string): boolean {
    return this.#accepted.has(key) || this.#options.membership.ownsDuty(`safeMove/${key}`);
  }

  #getWaitMs(): number {
    const { settings, random } = this.#options;
    const { safeMoveRepairMs, maxPollBackoffMs } = settings;
    return getBackoffMs(this.#failures, safeMoveRepairMs, maxPollBackoffMs, random);
  }
}
