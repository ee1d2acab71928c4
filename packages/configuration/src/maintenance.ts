/** Periodic maintenance: saves snapshots and prunes old rows. */
import { getErrorMessage, getRendezvousOwner, type Logger, type Random } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { TableClient, TableRow } from '@snipehaven/platform';
import { runRepeatedly } from './backoff.js';
import { CHANGE_PREFIX, type ConfigurationSettings } from './constants.js';
import type { Readiness } from './readiness.js';
import type { ReplicaState } from './replicaState.js';
import { getRequestKey, restoreChangeRow } from './rows.js';
import type { SnapshotStore } from './snapshotStore.js';

export interface MaintenanceOptions {
  readonly table: TableClient;
  readonly state: ReplicaState;
  readonly readiness: Readiness;
  readonly snapshots: SnapshotStore;
  readonly membership: MembershipView;
  readonly random: Random;
  readonly logger: Logger;
  readonly settings: ConfigurationSettings;
}

const DUTY = 'configurationMaintenance';

/**
 * Runs on one daemon of the cluster; if two consider themselves the owner, their work is redundant
 * but harmless.
 */
export class Maintenance {
  readonly #options: MaintenanceOptions;

  constructor(options: MaintenanceOptions) {
    this.#options = options;
  }

  run(signal: AbortSignal): Promise<void> {
    return runRepeatedly(async () => {
      if (this.#isOwner() && this.#options.readiness.hasConfiguration()) {
        await this.#runJob('snapshot', () => this.#options.snapshots.save());
        await this.#runJob('pruning', () => this.prune());
      }
      return this.#getWaitMs();
    }, signal);
  }

  /** Deletes change rows beyond the retained ones, with their request rows. */
  async prune(): Promise<void> {
    const { table, settings } = this.#options;
    const rows = await table.scan({ prefix: CHANGE_PREFIX, limit: settings.maxPrunedPerRun });
    const old = rows.filter((row) => this.#isOld(row));
    if (old.length > 0) {
      const keys = old.flatMap((row) => [
        row.key,
        getRequestKey(restoreChangeRow(row).clientRequestId),
      ]);
      await table.transact([{ conditions: [], writes: keys.map((key) => ({ key, value: null })) }]);
    }
  }

  #isOld(row: TableRow): boolean {
    const { state, settings } = this.#options;
    return restoreChangeRow(row).change.revision <= state.revision - settings.retainedChanges;
  }

  #isOwner(): boolean {
    const { membership } = this.#options;
    const incarnations = membership.listAlive().map(({ incarnation }) => incarnation);
    return getRendezvousOwner(DUTY, incarnations) === membership.self.incarnation;
  }

  async #runJob(job: string, run: () => Promise<void>): Promise<void> {
    try {
      await run();
    } catch (error) {
      this.#options.logger.warn({ job, fault: getErrorMessage(error) }, 'maintenance job failed');
    }
  }

  #getWaitMs(): number {
    const { settings, random } = this.#options;
    return settings.maintenanceMs * (0.5 + random.next());
  }
}
