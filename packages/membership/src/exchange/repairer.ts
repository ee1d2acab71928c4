/** Decides when a difference of digests is worth a repair. */
import type { Exchange } from '@snipehaven/protocol';
import { MAX_REPAIR_ROUNDS } from '../constants.js';
import type { MemberRecords } from '../records/memberRecords.js';
import type { Exchanger } from './exchanger.js';

/**
 * What goes wrong: a change is sent along a bounded number of times, so after a cut, a burst or bad luck
 * some members never hear of it. One notices it by views that stay different. Digests show it, and
 * a repair brings over just the parts that differ; while a change is still on its way round, digests differ
 * too, so repairs within a data centre are rationed.
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

  /** Repairs once where the answer shows a difference and the last repair is a while ago. */
  async repairRationed(answer: Exchange): Promise<void> {
    const nowMs = performance.now();
    if (this.#agrees(answer) || nowMs - this.#lastMs < this.#intervalMs) {
      return;
    }
    this.#lastMs = nowMs;
    await this.#exchanger.repair(answer.from);
  }

  /** Repairs until both agree or get no further, for joining and for healing a cut. */
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

  #agrees(answer: Exchange): boolean {
    return answer.digest === this.#records.table.digests.all;
  }
}
