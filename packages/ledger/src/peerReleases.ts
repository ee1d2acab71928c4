/**
 * Former peers that still hold a copy. What goes wrong: such a peer outlives the owner and adopts records
 * that the owner settled long ago, asking engines for them again. One notices adopted entries beside
 * the owner's. So each former peer is told, until it answers or is dead, to drop its copy.
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

  /** The member is the peer again: its copy begins anew anyway. */
  cancel(peer: Member | undefined): void {
    if (peer) {
      this.#former.delete(peer.incarnation);
    }
  }

  /**
   * Tells all former peers that live. To be called only while another peer holds the whole copy: until
   * then the old one, though it did not answer, may be the only one that has it.
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

  /** As `sendDue`, for the last time; resolves when all have answered or failed. */
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
      // The next check tries again.
    } finally {
      this.#underWay.delete(peer.incarnation);
    }
  }
}
