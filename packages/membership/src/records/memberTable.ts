/** Records of all known members, one per incarnation. */
import type { Member } from '@snipehaven/protocol';
import { BucketDigests, getBucket } from './bucketDigests.js';
import { isLive } from './precedence.js';

export class MemberTable {
  readonly #members = new Map<string, Member>();

  readonly #endedAtMs = new Map<string, number>();

  readonly digests = new BucketDigests();

  #live: readonly Member[] | undefined;

  get(incarnation: string): Member | undefined {
    return this.#members.get(incarnation);
  }

  put(member: Member): void {
    this.#remove(member.incarnation);
    this.#members.set(member.incarnation, member);
    this.digests.toggle(member);
    if (!isLive(member)) {
      this.#endedAtMs.set(member.incarnation, performance.now());
    }
  }

  list(): readonly Member[] {
    return [...this.#members.values()];
  }

  listLive(): readonly Member[] {
    this.#live ??= this.list().filter(isLive);
    return this.#live;
  }

  listBuckets(buckets: readonly number[]): readonly Member[] {
    const wanted = new Set(buckets);
    return this.list().filter((member) => wanted.has(getBucket(member.incarnation)));
  }

  /** Forgets members that ended longer ago than `afterMs`. */
  forgetEnded(afterMs: number): void {
    const limitMs = performance.now() - afterMs;
    [...this.#endedAtMs]
      .filter(([, endedAtMs]) => endedAtMs < limitMs)
      .forEach(([incarnation]) => this.#remove(incarnation));
  }

  forgetAllBut(incarnation: string): void {
    [...this.#members.keys()]
      .filter((other) => other !== incarnation)
      .forEach((other) => this.#remove(other));
  }

  #remove(incarnation: string): void {
    this.digests.toggle(this.#members.get(incarnation));
    this.#members.delete(incarnation);
    this.#endedAtMs.delete(incarnation);
    this.#live = undefined;
  }
}
