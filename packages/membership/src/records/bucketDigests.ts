/** Digests over a set of records that change by one record at a time. */
import { createHash } from 'node:crypto';
import type { Member } from '@snipehaven/protocol';
import { BUCKETS } from '../constants.js';
import { isLive } from './precedence.js';

const hashText = (text: string): number =>
  createHash('sha256').update(text).digest().readUInt32LE();

/** The bucket that an incarnation's record falls into. */
export const getBucket = (incarnation: string): number => hashText(incarnation) % BUCKETS;

/** Suspicion is left out: it passes, and members need not agree on it. */
const hashRecord = (member: Member): number =>
  hashText(`${member.incarnation}\u0000${member.refutation}\u0000${member.address}`);

/** Exclusive or: order does not matter, and taking the same in twice takes it out. */
// eslint-disable-next-line no-bitwise
const combine = (a: number, b: number): number => (a ^ b) >>> 0;

/**
 * Only live members count: the dead are forgotten at different times, and digests that held them would
 * differ until all had forgotten.
 */
export class BucketDigests {
  readonly #buckets: number[] = Array.from({ length: BUCKETS }, () => 0);

  /** Takes one record in or, called again with the same, out. */
  toggle(member: Member | undefined): void {
    if (!member || !isLive(member)) {
      return;
    }
    const bucket = getBucket(member.incarnation);
    this.#buckets[bucket] = combine(this.#buckets[bucket] ?? 0, hashRecord(member));
  }

  get all(): number {
    return this.#buckets.reduce(combine, 0);
  }

  get buckets(): readonly number[] {
    return this.#buckets;
  }

  /** Indices of the buckets that differ from the other's. */
  listDiffering(others: readonly number[]): readonly number[] {
    return this.#buckets.flatMap((digest, index) => (digest === others[index] ? [] : [index]));
  }
}
