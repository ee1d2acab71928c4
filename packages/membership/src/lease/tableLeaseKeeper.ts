/** Leases with fencing numbers, kept as rows of the platform's table. */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import {
  isPlatformError,
  PlatformOutcomeUnknownError,
  type TableClient,
} from '@snipehaven/platform';
import type { TimelineRecorder } from '@snipehaven/timeline';
import type { Lease, LeaseKeeper } from '../types.js';
import { HeldLease, startTerm, type LeaseTerm } from './heldLease.js';
import { LeaseObservations } from './leaseObservations.js';
import { getLeaseKey, restoreLeaseRow, type LeaseRow, type VersionedLeaseRow } from './leaseRow.js';

export interface TableLeaseKeeperOptions {
  readonly table: TableClient;
  readonly incarnation: string;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
}

export class TableLeaseKeeper implements LeaseKeeper {
  readonly #options: TableLeaseKeeperOptions;

  readonly #held = new Map<string, HeldLease>();

  readonly #observations = new LeaseObservations();

  /** The last step of each lease's queue: steps of one lease run one after another. */
  readonly #queues = new Map<string, Promise<unknown>>();

  #writeCount = 0;

  constructor(options: TableLeaseKeeperOptions) {
    this.#options = options;
  }

  async acquire(name: string, durationMs: number): Promise<Lease | undefined> {
    return this.#enqueue(name, () => this.#tryAcquire(name, durationMs));
  }

  async #tryAcquire(name: string, durationMs: number): Promise<Lease | undefined> {
    try {
      const held = this.#getHeld(name);
      return held
        ? await this.#extend(held, durationMs)
        : await this.#take(await this.#read(name), name, durationMs);
    } catch (error) {
      this.#options.logger.warn({ lease: name, error: getErrorMessage(error) }, 'no lease');
      if (isPlatformError(error)) {
        return this.#getHeld(name);
      }
      throw error;
    }
  }

  /** The own lease while it runs; a lapsed one is dropped and has to be taken anew. */
  #getHeld(name: string): HeldLease | undefined {
    const held = this.#held.get(name);
    if (held && !held.isHeld()) {
      this.#drop(held);
      return undefined;
    }
    return held;
  }

  async #take(
    row: VersionedLeaseRow,
    name: string,
    durationMs: number,
  ): Promise<Lease | undefined> {
    if (!this.#isFree(row, name)) {
      return undefined;
    }
    const fence = (row.value?.fence ?? 0) + 1;
    const term = startTerm(durationMs);
    const version = await this.#write(name, row.version, { fence, durationMs, renewals: 0 });
    return version === undefined ? undefined : this.#hold(name, fence, version, term);
  }

  /**
   * A row of this very process that it does not hold any more lapsed or was taken by a write that it gave
   * up: nobody else acts on it, so it may be taken again, under a higher fence.
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

  async #extend(held: HeldLease, durationMs: number): Promise<Lease | undefined> {
    const { name, fence } = held;
    const renewals = held.renewals + 1;
    const term = startTerm(durationMs);
    held.addUnsure(term);
    const version = await this.#write(name, held.version, { fence, durationMs, renewals });
    if (version === undefined) {
      held.end();
      this.#drop(held);
      return undefined;
    }
    held.renewals = renewals;
    held.extend(term, version);
    return this.#getHeld(name);
  }

  #hold(name: string, fence: number, version: number, term: LeaseTerm): Lease | undefined {
    const lease = new HeldLease(name, fence, version, term, (held) => this.#release(held));
    this.#observations.forget(name);
    this.#held.set(name, lease);
    this.#options.timeline.record('leaseAcquired', {}, { lease: name, fence });
    return this.#getHeld(name);
  }

  async #release(held: HeldLease): Promise<void> {
    await this.#enqueue(held.name, async () => {
      this.#drop(held);
      const { name, fence, version, renewals } = held;
      try {
        await this.#write(name, version, { fence, durationMs: 0, renewals }, null);
      } catch (error) {
        // Others wait until it has lapsed, as if this process had died.
        this.#options.logger.warn({ lease: name, error: getErrorMessage(error) }, 'not released');
      }
    });
  }

  #drop(held: HeldLease): void {
    if (this.#held.get(held.name) === held) {
      this.#held.delete(held.name);
      this.#options.timeline.record('leaseLost', {}, { lease: held.name, fence: held.fence });
    }
  }

  async #read(name: string): Promise<VersionedLeaseRow> {
    const [row] = await this.#options.table.read([getLeaseKey(name)]);
    return row
      ? { version: row.version, value: restoreLeaseRow(name, row.value) }
      : { version: 0, value: undefined };
  }

  /** Writes on condition of the version; resolves with the new one, undefined when the row changed. */
  async #write(
    name: string,
    version: number,
    row: Pick<LeaseRow, 'fence' | 'durationMs' | 'renewals'>,
    holder: string | null = this.#options.incarnation,
  ): Promise<number | undefined> {
    const key = getLeaseKey(name);
    this.#writeCount += 1;
    const token = `${this.#options.incarnation}/${this.#writeCount}`;
    const write = { key, value: { ...row, holder, token } };
    try {
      const [result] = await this.#options.table.transact([
        { conditions: [{ key, version }], writes: [write] },
      ]);
      return result?.kind === 'committed' ? result.versions[0]?.version : undefined;
    } catch (error) {
      if (error instanceof PlatformOutcomeUnknownError) {
        return this.#readBack(name, version, token, error);
      }
      throw error;
    }
  }

  /**
   * What goes wrong: the table took the write and the reply was lost; taken for a failure, the lease would be
   * nobody's until it lapsed. One notices a duty that rests after a slow reply. The row tells:
   * it carries the token of the write, or still has the version before it.
   */
  async #readBack(
    name: string,
    version: number,
    token: string,
    cause: unknown,
  ): Promise<number | undefined> {
    const row = await this.#read(name);
    if (row.value?.token === token) {
      return row.version;
    }
    if (row.version === version) {
      // Still open: the write may arrive yet.
      throw cause;
    }
    return undefined;
  }

  #enqueue<Value>(name: string, step: () => Promise<Value>): Promise<Value> {
    const previous = this.#queues.get(name) ?? Promise.resolve();
    const current = previous.then(step, step);
    this.#queues.set(
      name,
      current.catch(() => undefined),
    );
    return current;
  }
}
