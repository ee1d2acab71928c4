/** Which daemon holds the copy of this daemon's records. */
import { rankByRendezvous } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { Member } from '@snipehaven/protocol';

/**
 * Members of other VMs, those of the own data centre first, each group by falling rendezvous weight. A
 * member that comes or goes changes the first place of few owners only. Suspects come last: the copy on
 * one that is dead is none, and the owner may be killed before membership is sure.
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
 * What goes wrong: membership holds a peer alive that does not answer us (a cut link, a long pause), and
 * each admission waits for a timeout. One notices first tokens late by just that time. A peer that
 * failed is passed over, for twice as long with each failure in a row.
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

  /** Ranks anew at the next choice; to be called when members changed. */
  refresh(): void {
    this.#ranked = undefined;
  }

  /** The best peer that is not passed over. */
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
