/** Anti-entropy repair of views whose digests differ. */
import type { Exchange } from '@snipehaven/protocol';
import { MAX_REPAIR_ROUNDS } from '../constants.js';
import type { MemberRecords } from '../records/memberRecords.js';
import type { Exchanger } from './exchanger.js';

/**
 * An update is gossiped a bounded number of times, so after a network partition or a burst, or by
 * chance, some members never receive it and their views stay different. Digests reveal this, and a
 * repair transfers only the differing buckets. Digests also differ while an update is still being
 * disseminated, so repairs within a data centre are rate-limited.
 */
export class Repairer {
  readonly #records: MemberRecords;

  readonly #exchanger: Exchanger;

  readonly #intervalMs: number;

  #lastMs = -Infinity;

  constructor(records: MemberRecords, exchanger: Exchanger, intervalMs: number) {
    this.#records = records;
    this.#exchanger = exchanger;
    this.#intervalMs = intervalMs;
  }

  /** Repairs once if the answer's digest differs and the minimum interval has passed. */
  async repairRateLimited(answer: Exchange): Promise<void> {
    const nowMs = performance.now();
    if (this.#isInSync(answer) || nowMs - this.#lastMs < this.#intervalMs) {
      return;
    }
    this.#lastMs = nowMs;
    await this.#exchanger.repair(answer.from);
  }

  /**
   * Repairs until both views are equal or make no progress; used for joining and after a partition.
   */
  async repairFully(answer: Exchange): Promise<void> {
    const { digests } = this.#records.table;
    let theirs = answer.digest;
    for (let round = 0; theirs !== digests.all && round < MAX_REPAIR_ROUNDS; round += 1) {
      const before = [digests.all, theirs].join();
      theirs = await this.#exchanger.repair(answer.from);
      if (before === [digests.all, theirs].join()) {
        return;
      }
    }
  }

  #isInSync(answer: Exchange): boolean {
    return answer.digest === this.#records.table.digests.all;
  }
}
