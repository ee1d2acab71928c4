/** Probes members by exchanging news with them, directly and through others. */
import { withTimeout, type Random } from '@snipehaven/common';
import type { Member, PeerTransport, Probe } from '@snipehaven/protocol';
import { INDIRECT_HELPERS } from '../constants.js';
import type { Exchanger } from '../exchange/exchanger.js';
import type { Repairer } from '../exchange/repairer.js';
import type { PauseWatch } from '../pauseWatch.js';
import type { MemberRecords } from '../records/memberRecords.js';
import type { MembershipSettings } from '../types.js';
import { toPeerTimeout } from '../errors.js';
import { sampleMembers } from './shuffledOrder.js';

export interface ProberOptions {
  readonly records: MemberRecords;
  readonly exchanger: Exchanger;
  readonly pauseWatch: PauseWatch;
  readonly transport: PeerTransport;
  readonly random: Random;
  readonly settings: MembershipSettings;
}

export class Prober {
  readonly #options: ProberOptions;

  constructor(options: ProberOptions) {
    this.#options = options;
  }

  /** Suspects the member when neither this one nor its helpers get an answer. */
  async probe(member: Member, repairer: Repairer): Promise<void> {
    const { records, pauseWatch } = this.#options;
    const pauses = pauseWatch.count;
    if ((await this.#reach(member, repairer)) || (await this.#reachAgain(member, repairer))) {
      return;
    }
    pauseWatch.check();
    if (pauseWatch.count === pauses) {
      records.suspect(member);
    }
  }

  /** Answers a peer that could not reach a member itself. */
  async answerProbe(probe: Probe): Promise<{ readonly isAlive: boolean }> {
    const { exchanger, settings } = this.#options;
    try {
      const contact = exchanger.contact(probe.address);
      const { indirectTimeoutMs } = settings;
      const timeout = toPeerTimeout(indirectTimeoutMs);
      const answer = await withTimeout(contact, indirectTimeoutMs, timeout);
      const isAsked = (probe.incarnation ?? answer.from.incarnation) === answer.from.incarnation;
      return { isAlive: isAsked };
    } catch {
      return { isAlive: false };
    }
  }

  async #reach(member: Member, repairer: Repairer): Promise<boolean> {
    try {
      const answer = await this.#options.exchanger.exchange(member);
      await repairer.repairRationed(answer).catch(() => undefined);
      return true;
    } catch {
      return false;
    }
  }

  /**
   * What goes wrong: the one connection to a member went silent, or just the path between two members
   * is cut, and a healthy member is suspected. One notices suspicions that are refuted at once. So a
   * second try goes over a new connection, and others try at the same time.
   */
  async #reachAgain(member: Member, repairer: Repairer): Promise<boolean> {
    const tries = [
      this.#reach(member, repairer),
      ...this.#chooseHelpers(member).map((helper) => this.#askHelper(helper, member)),
    ];
    const reached = tries.map(async (attempt) => (await attempt) || Promise.reject(new Error()));
    return Promise.any(reached).catch(() => false);
  }

  async #askHelper(helper: Member, member: Member): Promise<boolean> {
    const { transport, settings } = this.#options;
    const { address, incarnation } = member;
    const call = transport.getPeer(helper.address).membership.probe({ address, incarnation });
    try {
      const { probeTimeoutMs } = settings;
      const timeout = toPeerTimeout(probeTimeoutMs);
      return (await withTimeout(call, probeTimeoutMs, timeout)).isAlive;
    } catch {
      return false;
    }
  }

  /** Members of one's own data centre; for a member elsewhere, also one there and one in a third. */
  #chooseHelpers(member: Member): readonly Member[] {
    const { records, random } = this.#options;
    const { dataCentre } = records.self;
    const others = records.listOthers().filter((other) => other.incarnation !== member.incarnation);
    const near = others.filter((other) => other.dataCentre === dataCentre);
    if (member.dataCentre === dataCentre) {
      return sampleMembers(near, INDIRECT_HELPERS, random);
    }
    const there = others.filter((other) => other.dataCentre === member.dataCentre);
    const third = others.filter(
      (other) => other.dataCentre !== dataCentre && other.dataCentre !== member.dataCentre,
    );
    return [near, there, third].flatMap((members) => sampleMembers(members, 1, random));
  }
}
