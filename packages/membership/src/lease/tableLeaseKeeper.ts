/** Leases with fencing numbers, stored as rows of the platform's table. */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import { isPlatformError, type TableClient } from '@snipehaven/platform';
import type { TimelineRecorder } from '@snipehaven/timeline';
import { LeaseRowMalformedError } from '../errors.js';
import type { Lease, LeaseKeeper } from '../types.js';
import { HeldLease, startTerm } from './heldLease.js';
import { LeaseObservations } from './leaseObservations.js';
import type { VersionedLeaseRow } from './leaseRow.js';
import { LeaseTable, type LeaseWriteResult } from './leaseTable.js';

export interface TableLeaseKeeperOptions {
  readonly table: TableClient;
  /**
   * Incarnation of this process. Each incarnation needs one keeper only, because a keeper treats
   * rows under this name as its own.
   */
  readonly incarnation: string;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
}

export class TableLeaseKeeper implements LeaseKeeper {
  readonly #options: TableLeaseKeeperOptions;

  readonly #table: LeaseTable;

  readonly #held = new Map<string, HeldLease>();

  readonly #observations = new LeaseObservations();

  /** Last step of each lease's queue; the steps of one lease run one after another. */
  readonly #queues = new Map<string, Promise<unknown>>();

  constructor(options: TableLeaseKeeperOptions) {
    this.#options = options;
    this.#table = new LeaseTable(options.table, options.incarnation);
  }

  /**
   * Acquires or extends the lease. To take over another member's lease, call this repeatedly: its
   * row is observed from the first call on. While the table is unavailable, an own lease that has
   * not expired is returned without an extension.
   */
  async acquire(name: string, durationMs: number): Promise<Lease | undefined> {
    return this.#enqueue(name, () => this.#tryAcquire(name, durationMs));
  }

  async #tryAcquire(name: string, durationMs: number): Promise<Lease | undefined> {
    try {
      const held = this.#getHeld(name);
      return held ? await this.#extend(held, durationMs) : await this.#take(name, durationMs);
    } catch (error) {
      if (isPlatformError(error) || error instanceof LeaseRowMalformedError) {
        this.#warn('could not acquire or extend lease', name, error);
        return this.#getHeld(name);
      }
      throw error;
    }
  }

  /**
   * Returns the own lease unless it has expired. An expired lease is dropped and must be acquired
   * again.
   */
  #getHeld(name: string): HeldLease | undefined {
    const held = this.#held.get(name);
    if (held && !held.isHeld()) {
      this.#drop(held);
      return undefined;
    }
    return held;
  }

  async #take(name: string, durationMs: number): Promise<Lease | undefined> {
    const row = await this.#table.read(name);
    if (!this.#isFree(row, name)) {
      return undefined;
    }
    const holder = this.#options.incarnation;
    const fence = (row.value?.fence ?? 0) + 1;
    const term = startTerm(durationMs);
    const draft = { holder, fence, durationMs, renewals: 0 };
    const result = await this.#table.write(name, row.version, draft);
    if (result.kind === 'changed') {
      return undefined;
    }
    const { version } = result;
    const onRelease = (lease: HeldLease): Promise<void> => this.#release(lease);
    return this.#hold(new HeldLease(name, { holder, fence, version }, term, onRelease));
  }

  /**
   * A row of this process under which it holds no lease has expired, or was written by a request
   * that this process had given up on. Nobody else acts under it, so it may be acquired again under
   * a higher fence.
   */
  #isFree(row: VersionedLeaseRow, name: string): boolean {
    const { value, version } = row;
    return (
      value === undefined ||
      value.holder === null ||
      value.holder === this.#options.incarnation ||
      this.#observations.isUnchangedFor(name, version, value.durationMs)
    );
  }

  #hold(lease: HeldLease): Lease | undefined {
    this.#observations.forget(lease.name);
    this.#held.set(lease.name, lease);
    this.#options.timeline.record('leaseAcquired', {}, { lease: lease.name, fence: lease.fence });
    return this.#getHeld(lease.name);
  }

  async #extend(held: HeldLease, durationMs: number): Promise<Lease | undefined> {
    const term = startTerm(durationMs);
    held.addUnconfirmed(term);
    const result = await this.#rewrite(held, held.holder, durationMs);
    if (result.kind === 'written') {
      held.extend(term, result.version);
    } else {
      held.end();
    }
    return this.#getHeld(held.name);
  }

  async #release(held: HeldLease): Promise<void> {
    await this.#enqueue(held.name, async () => {
      this.#drop(held);
      try {
        await this.#rewrite(held, null, 0);
      } catch (error) {
        // Other members wait until the lease has expired, as if this process had died.
        this.#warn('could not release lease', held.name, error);
      }
    });
  }

  /**
   * Rewrites an own row. Retries once if the row changed only because of an earlier own write whose
   * reply was lost.
   */
  async #rewrite(
    held: HeldLease,
    holder: string | null,
    durationMs: number,
  ): Promise<LeaseWriteResult> {
    const write = (): Promise<LeaseWriteResult> => {
      const { name, version, fence, renewals } = held;
      return this.#table.write(name, version, {
        holder,
        fence,
        durationMs,
        renewals: renewals + 1,
      });
    };
    const result = await write();
    if (result.kind === 'changed' && held.isRow(result.row)) {
      held.syncWithRow(result.row);
      return write();
    }
    return result;
  }

  #drop(held: HeldLease): void {
    if (this.#held.get(held.name) === held) {
      this.#held.delete(held.name);
      this.#options.timeline.record('leaseLost', {}, { lease: held.name, fence: held.fence });
    }
  }

  #warn(text: string, lease: string, error: unknown): void {
    this.#options.logger.warn({ lease, error: getErrorMessage(error) }, text);
  }

  #enqueue<Value>(name: string, step: () => Promise<Value>): Promise<Value> {
    const previous = this.#queues.get(name) ?? Promise.resolve();
    const current = previous.then(step);
    this.#queues.set(
      name,
      current.catch(() => undefined),
    );
    return current;
  }
}
