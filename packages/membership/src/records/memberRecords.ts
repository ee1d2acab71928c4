/** What this member believes of all others, and the rules by which news change it. */
import type { Logger } from '@snipehaven/common';
import type { Member } from '@snipehaven/protocol';
import type { TimelineRecorder } from '@snipehaven/timeline';
import type { MembershipSettings, SelfIdentity } from '../types.js';
import { BroadcastQueue } from './broadcastQueue.js';
import { Listeners } from './listeners.js';
import { MemberTable } from './memberTable.js';
import { isLive, isOutsidersDoubt, supersedes, weighReport } from './precedence.js';
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

  /** What other data centres hold against members of this one, until these have heard it. */
  readonly #doubts = new Map<string, Member>();

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

  /** Live members but oneself. */
  listOthers(): readonly Member[] {
    return this.table.listLive().filter((member) => member.incarnation !== this.#selfIncarnation);
  }

  /** Takes in a record that a peer told. */
  merge(record: Member, reporter: Member): void {
    if (record.incarnation === this.#selfIncarnation) {
      this.#hearOfSelf(record);
      return;
    }
    if (record.address === this.self.address) {
      this.#endPredecessor(record);
      return;
    }
    if (isOutsidersDoubt(record, reporter, this.self)) {
      this.#doubts.set(record.incarnation, record);
      return;
    }
    const present = this.table.get(record.incarnation);
    const weighed = weighReport(record, reporter, this.self);
    if (!present && !isLive(weighed)) {
      // Nothing to end here; keeping it would hand the dead on for ever.
      return;
    }
    if (!present || supersedes(weighed, present)) {
      this.#apply(weighed);
    }
  }

  /**
   * What goes wrong: a new VM starts at a dead one's address, and its answers make the dead one look
   * alive: duties and records stay with a process that is gone. One notices two live members at one
   * address. A process that answers at an address proves the end of every other life there.
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

  /** What is held against a member, here or elsewhere, that it must hear of to refute it. */
  listDoubts(member: Member): readonly Member[] {
    const held = [this.table.get(member.incarnation), this.#doubts.get(member.incarnation)];
    return held.filter((record) => record !== undefined && record.state !== 'alive') as Member[];
  }

  /** Some members of this data centre that other ones doubt and that have not refuted it yet. */
  nextDoubted(limit: number): readonly Member[] {
    [...this.#doubts.values()]
      .filter((doubt) => !this.#isOpen(doubt))
      .forEach((doubt) => this.#doubts.delete(doubt.incarnation));
    const chosen = [...this.#doubts.values()].slice(0, limit);
    chosen.forEach((doubt) => {
      this.#doubts.delete(doubt.incarnation);
      this.#doubts.set(doubt.incarnation, doubt);
    });
    return chosen.map((doubt) => this.table.get(doubt.incarnation) as Member);
  }

  suspect(member: Member): void {
    const present = this.table.get(member.incarnation);
    if (present?.state === 'alive') {
      this.#apply({ ...present, state: 'suspect' });
    }
  }

  declareDead(member: Member): void {
    if (member.incarnation !== this.#selfIncarnation) {
      this.#apply({ ...member, state: 'dead' });
    }
  }

  /** Declares dead the suspects whose time is up. */
  buryExpired(): void {
    this.suspicions.listExpired().forEach((incarnation) => {
      const member = this.table.get(incarnation);
      if (member?.state === 'suspect') {
        this.declareDead(member);
      }
    });
  }

  /** Raises the own refutation above all that was said of this member so far. */
  refute(heard = this.self.refutation): void {
    if (this.self.state === 'alive') {
      this.#apply({ ...this.self, refutation: Math.max(heard, this.self.refutation) + 1 });
    }
  }

  /** Forgets all others: what is known of them is older than what they remember of the dead. */
  startOver(): void {
    this.table.forgetAllBut(this.#selfIncarnation);
    this.suspicions.clear();
    this.broadcasts.clear();
    this.#doubts.clear();
  }

  leave(): void {
    this.#apply({ ...this.self, state: 'left' });
  }

  #isOpen(doubt: Member): boolean {
    const member = this.table.get(doubt.incarnation);
    return member !== undefined && isLive(member) && supersedes(doubt, member);
  }

  #hearOfSelf(record: Member): void {
    if (record.state !== 'alive' && record.refutation >= this.self.refutation) {
      this.refute(record.refutation);
    }
  }

  /** Whoever had this process's address before is gone; those who still count on it hear so. */
  #endPredecessor(record: Member): void {
    const present = this.table.get(record.incarnation);
    if (isLive(record) && (!present || isLive(present))) {
      this.declareDead(record);
    }
  }

  #apply(member: Member): void {
    const present = this.table.get(member.incarnation);
    this.table.put(member);
    this.broadcasts.add(member);
    this.#watchSuspect(member);
    if (member.state !== present?.state) {
      recordStateChange(this.#options.timeline, member, present);
      this.changes.tell(member);
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
