/**
 * Assignment of duties: one member of a data centre performs a duty for all, chosen by rendezvous
 * hashing over the live members.
 */
import { rankByRendezvous } from '@snipehaven/common';
import type { Member } from '@snipehaven/protocol';
import type { MemberRecords } from './records/memberRecords.js';

const rankMembers = (key: string, members: readonly Member[]): readonly Member[] => {
  const byIncarnation = new Map(members.map((member) => [member.incarnation, member]));
  return rankByRendezvous(key, [...byIncarnation.keys()]).map(
    (incarnation) => byIncarnation.get(incarnation) as Member,
  );
};

export class Duties {
  readonly #records: MemberRecords;

  constructor(records: MemberRecords) {
    this.#records = records;
  }

  rankLocal(key: string): readonly Member[] {
    return rankMembers(key, this.#records.listLocal());
  }

  getOwner(duty: string): Member {
    return this.rankLocal(duty)[0] ?? this.#records.self;
  }

  owns(duty: string): boolean {
    const { self } = this.#records;
    return self.state !== 'left' && this.getOwner(duty).incarnation === self.incarnation;
  }

  /**
   * Returns one member of each other data centre. Each member prefers a different one, which
   * spreads the load.
   */
  listRelays(): readonly Member[] {
    const { self, table } = this.#records;
    const others = table.listLive().filter((member) => member.dataCentre !== self.dataCentre);
    const dataCentres = [...new Set(others.map((member) => member.dataCentre))];
    return dataCentres.map((dataCentre) => {
      const members = others.filter((member) => member.dataCentre === dataCentre);
      const alive = members.filter((member) => member.state === 'alive');
      const preferred = alive.length > 0 ? alive : members;
      return rankMembers(`relay/${self.incarnation}`, preferred)[0] as Member;
    });
  }
}
