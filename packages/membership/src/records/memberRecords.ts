/** This member's records of all others, and the rules by which updates change them. */
import type { Logger } from '@snipehaven/common';
import type { Member } from '@snipehaven/protocol';
import type { TimelineRecorder } from '@snipehaven/timeline';
import type { MembershipSettings, SelfIdentity } from '../types.js';
import { BroadcastQueue } from './broadcastQueue.js';
import { Listeners } from './listeners.js';
import { MemberTable } from './memberTable.js';
import { isLive, isRemoteSuspicion, supersedes, downgradeRemoteDeath } from './precedence.js';
import { recordStateChange } from './recordStateChange.js';
import { getSuspicionMs, Suspicions } from './suspicions.js';

export interface MemberRecordsOptions {
  readonly self: SelfIdentity;
  readonly settings: MembershipSettings;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
}

export class MemberRecords {
  readonly table = new MemberTable();

  readonly broadcasts = new BroadcastQueue();

  readonly suspicions = new Suspicions();

  readonly changes: Listeners<Member>;

  /** Suspicions of other data centres against local members, until these have received them. */
  readonly #remoteSuspicions = new Map<string, Member>();

  readonly #options: MemberRecordsOptions;

  readonly #selfIncarnation: string;

  constructor(options: MemberRecordsOptions) {
    this.#options = options;
    this.#selfIncarnation = options.self.incarnation;
    this.changes = new Listeners(options.logger);
    this.table.put({ ...options.self, refutation: 0, state: 'alive' });
  }

  get self(): Member {
    return this.table.get(this.#selfIncarnation) as Member;
  }

  listLocal(): readonly Member[] {
    const { dataCentre } = this.self;
    return this.table.listLive().filter((member) => member.dataCentre === dataCentre);
  }

  /** Lists the live members except this one. */
  listOthers(): readonly Member[] {
    return this.table.listLive().filter((member) => member.incarnation !== this.#selfIncarnation);
  }

  /** Applies a record received from a peer. */
  merge(record: Member, reporter: Member): void {
    if (record.incarnation === this.#selfIncarnation) {
      this.#handleReportAboutSelf(record);
      return;
    }
    if (record.address === this.self.address) {
      this.#declarePredecessorDead(record);
      return;
    }
    if (isRemoteSuspicion(record, reporter, this.self)) {
      this.#remoteSuspicions.set(record.incarnation, record);
      return;
    }
    const current = this.table.get(record.incarnation);
    const adjusted = downgradeRemoteDeath(record, reporter, this.self);
    if (!current && !isLive(adjusted)) {
      // There is no live record to end, and storing a dead one would gossip dead members forever.
      return;
    }
    if (!current || supersedes(adjusted, current)) {
      this.#apply(adjusted);
    }
  }

  /**
   * When a new VM starts at the address of a dead one, its answers make the dead one look alive,
   * and duties and records stay with a process that no longer exists: two live members at one
   * address. A process that answers at an address proves that every other incarnation there has
   * ended.
   */
  confirm(answerer: Member): void {
    this.merge(answerer, answerer);
    const confirmed = this.table.get(answerer.incarnation);
    if (!confirmed || !isLive(confirmed)) {
      return;
    }
    this.table
      .listLive()
      .filter((member) => member.address === answerer.address)
      .filter((member) => member.incarnation !== answerer.incarnation)
      .forEach((member) => this.declareDead(member));
  }

  /**
   * Lists local and remote suspicions about a member, which it must receive in order to refute
   * them.
   */
  listSuspicions(member: Member): readonly Member[] {
    const records = [
      this.table.get(member.incarnation),
      this.#remoteSuspicions.get(member.incarnation),
    ];
    return records.filter((record) => record !== undefined && record.state !== 'alive') as Member[];
  }

  /**
   * Returns some members of this data centre that another one suspects and that have not refuted it
   * yet.
   */
  nextRemoteSuspects(limit: number): readonly Member[] {
    [...this.#remoteSuspicions.values()]
      .filter((suspicion) => !this.#isUnrefuted(suspicion))
      .forEach((suspicion) => this.#remoteSuspicions.delete(suspicion.incarnation));
    const chosen = [...this.#remoteSuspicions.values()].slice(0, limit);
    chosen.forEach((suspicion) => {
      this.#remoteSuspicions.delete(suspicion.incarnation);
      this.#remoteSuspicions.set(suspicion.incarnation, suspicion);
    });
    return chosen.map((suspicion) => this.table.get(suspicion.incarnation) as Member);
  }

  suspect(member: Member): void {
    const current = this.table.get(member.incarnation);
    if (current?.state === 'alive') {
      this.#apply({ ...current, state: 'suspect' });
    }
  }

  declareDead(member: Member): void {
    if (member.incarnation !== this.#selfIncarnation) {
      this.#apply({ ...member, state: 'dead' });
    }
  }

  /** Declares suspects dead whose time to refute has expired. */
  declareExpiredDead(): void {
    this.suspicions.listExpired().forEach((incarnation) => {
      const member = this.table.get(incarnation);
      if (member?.state === 'suspect') {
        this.declareDead(member);
      }
    });
  }

  /** Raises this member's refutation above that of all records about it so far. */
  refute(heard = this.self.refutation): void {
    if (this.self.state === 'alive') {
      this.#apply({ ...this.self, refutation: Math.max(heard, this.self.refutation) + 1 });
    }
  }

  /**
   * Forgets all other members, because these records are older than the dead members that others
   * still remember.
   */
  forgetOthers(): void {
    this.table.forgetAllBut(this.#selfIncarnation);
    this.suspicions.clear();
    this.broadcasts.clear();
    this.#remoteSuspicions.clear();
  }

  leave(): void {
    this.#apply({ ...this.self, state: 'left' });
  }

  #isUnrefuted(suspicion: Member): boolean {
    const member = this.table.get(suspicion.incarnation);
    return member !== undefined && isLive(member) && supersedes(suspicion, member);
  }

  #handleReportAboutSelf(record: Member): void {
    if (record.state !== 'alive' && record.refutation >= this.self.refutation) {
      this.refute(record.refutation);
    }
  }

  /**
   * A previous member at this process's address has ended; members that still consider it alive are
   * informed.
   */
  #declarePredecessorDead(record: Member): void {
    const current = this.table.get(record.incarnation);
    if (isLive(record) && (!current || isLive(current))) {
      this.declareDead(record);
    }
  }

  #apply(member: Member): void {
    const current = this.table.get(member.incarnation);
    this.table.put(member);
    this.broadcasts.add(member);
    this.#watchSuspect(member);
    if (member.state !== current?.state) {
      recordStateChange(this.#options.timeline, member, current);
      this.changes.notify(member);
    }
  }

  #watchSuspect(member: Member): void {
    if (member.state !== 'suspect') {
      this.suspicions.end(member);
      return;
    }
    const isLocal = member.dataCentre === this.self.dataCentre;
    const size = this.listLocal().length;
    this.suspicions.start(
      member.incarnation,
      getSuspicionMs(isLocal, size, this.#options.settings),
    );
  }
}
