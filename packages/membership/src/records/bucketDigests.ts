/** Incremental digests over a set of records. */
import { createHash } from 'node:crypto';
import type { Member } from '@snipehaven/protocol';
import { BUCKETS } from '../constants.js';
import { isLive } from './precedence.js';

const hashText = (text: string): number =>
  createHash('sha256').update(text).digest().readUInt32LE();

/** Returns the bucket of an incarnation's record. */
export const getBucket = (incarnation: string): number => hashText(incarnation) % BUCKETS;

/** Suspicion is excluded, because it is temporary and members need not agree on it. */
const hashRecord = (member: Member): number =>
  hashText(`${member.incarnation}\u0000${member.refutation}\u0000${member.address}`);

/** Exclusive or: independent of the order, and applying the same record twice removes it. */
// eslint-disable-next-line no-bitwise
const combine = (a: number, b: number): number => (a ^ b) >>> 0;

/**
 * Only live members are included. Dead members are forgotten at different times, so digests that
 * included them would differ until all members had forgotten them.
 */
export class BucketDigests {
  readonly #buckets: number[] = Array.from({ length: BUCKETS }, () => 0);

  /** Adds a record or, if called again with the same one, removes it. */
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

  /** Returns the indices of the buckets that differ. */
  listDiffering(others: readonly number[]): readonly number[] {
    return this.#buckets.flatMap((digest, index) => (digest === others[index] ? [] : [index]));
  }
}
