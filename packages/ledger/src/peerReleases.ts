/**
 * Tells former peers to drop their replicas, until each one answers or is dead. A former peer that
 * outlives the owner would otherwise adopt records that the owner settled long ago, ask engines for them
 * again, and add adopted entries to those of the owner.
 */
import type { MembershipView } from '@snipehaven/membership';
import type { Member } from '@snipehaven/protocol';

type Release = (peer: Member) => Promise<unknown>;

export class PeerReleases {
  readonly #membership: MembershipView;

  readonly #release: Release;

  readonly #former = new Map<string, Member>();

  readonly #underWay = new Set<string>();

  constructor(membership: MembershipView, release: Release) {
    this.#membership = membership;
    this.#release = release;
  }

  add(peer: Member | undefined): void {
    if (peer) {
      this.#former.set(peer.incarnation, peer);
    }
  }

  /** The member is the peer again, and its replica is rebuilt anyway. */
  cancel(peer: Member | undefined): void {
    if (peer) {
      this.#former.delete(peer.incarnation);
    }
  }

  /**
   * Tells all live former peers. To be called only while another peer holds the whole book, or the book
   * is empty: until then a former peer, even if it did not answer, may hold the only replica.
   */
  sendDue(): void {
    this.#former.forEach((peer) => {
      if (!this.#membership.isIncarnationAlive(peer.incarnation)) {
        this.#former.delete(peer.incarnation);
      } else if (!this.#underWay.has(peer.incarnation)) {
        void this.#send(peer);
      }
    });
  }

  /** As `sendDue`, before a shutdown; resolves when all have answered or failed. */
  async sendAll(): Promise<void> {
    const alive = [...this.#former.values()].filter((peer) =>
      this.#membership.isIncarnationAlive(peer.incarnation),
    );
    await Promise.all(alive.map((peer) => this.#send(peer)));
  }

  async #send(peer: Member): Promise<void> {
    this.#underWay.add(peer.incarnation);
    try {
      await this.#release(peer);
      this.#former.delete(peer.incarnation);
    } catch {
      // Retried at the next check.
    } finally {
      this.#underWay.delete(peer.incarnation);
    }
  }
}
