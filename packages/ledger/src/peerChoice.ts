/** Chooses the daemon that holds the replica of this daemon's records. */
import { rankByRendezvous } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { Member } from '@snipehaven/protocol';

/**
 * Members on other VMs, those in the own data centre first, each group by descending rendezvous weight, so
 * that a membership change moves the first place of few owners only. Suspects come last: a replica on a
 * dead one is lost, and the owner may be killed before membership confirms the death.
 */
export const rankPeers = (self: Member, members: readonly Member[]): readonly Member[] => {
  const others = members.filter((member) => member.vm !== self.vm);
  const byIncarnation = new Map(others.map((member) => [member.incarnation, member]));
  const ranked = rankByRendezvous(self.incarnation, [...byIncarnation.keys()]).map(
    (incarnation) => byIncarnation.get(incarnation) as Member,
  );
  const getRank = (member: Member): number =>
    2 * Number(member.state === 'suspect') + Number(member.dataCentre !== self.dataCentre);
  return [0, 1, 2, 3].flatMap((rank) => ranked.filter((member) => getRank(member) === rank));
};

interface Penalty {
  readonly untilMs: number;
  readonly failures: number;
}

export interface PeerPenaltySettings {
  readonly peerPenaltyMs: number;
  readonly maxPeerPenaltyMs: number;
}

/**
 * Skips a peer that failed, for twice as long with each consecutive failure. A peer that membership
 * considers alive may not answer (network partition, long pause); each admission would then wait for a
 * timeout, and first tokens would be late by that time.
 */
export class PeerChoice {
  readonly #membership: MembershipView;

  readonly #settings: PeerPenaltySettings;

  readonly #penalties = new Map<string, Penalty>();

  #ranked: readonly Member[] | undefined;

  constructor(membership: MembershipView, settings: PeerPenaltySettings) {
    this.#membership = membership;
    this.#settings = settings;
  }

  /** Ranks the peers again at the next choice; to be called when members change. */
  refresh(): void {
    this.#ranked = undefined;
  }

  /** The best-ranked peer without a penalty. */
  getBest(): Member | undefined {
    this.#ranked ??= this.#rank();
    return this.#ranked.find((member) => !this.#isPenalised(member.incarnation));
  }

  penalise(peer: Member): void {
    const failures = (this.#penalties.get(peer.incarnation)?.failures ?? 0) + 1;
    const penaltyMs = Math.min(
      this.#settings.peerPenaltyMs * 2 ** (failures - 1),
      this.#settings.maxPeerPenaltyMs,
    );
    this.#penalties.set(peer.incarnation, { untilMs: Date.now() + penaltyMs, failures });
  }

  pardon(peer: Member): void {
    this.#penalties.delete(peer.incarnation);
  }

  #rank(): readonly Member[] {
    const members = this.#membership.listAlive();
    const present = new Set(members.map((member) => member.incarnation));
    [...this.#penalties.keys()]
      .filter((incarnation) => !present.has(incarnation))
      .forEach((incarnation) => this.#penalties.delete(incarnation));
    return rankPeers(this.#membership.self, members);
  }

  #isPenalised(incarnation: string): boolean {
    return Date.now() < (this.#penalties.get(incarnation)?.untilMs ?? 0);
  }
}
