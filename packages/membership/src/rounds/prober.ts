/** Probes members by exchanging updates with them, directly and indirectly. */
import { withTimeout, type Random } from '@snipehaven/common';
import type { Member, PeerTransport, Probe } from '@snipehaven/protocol';
import { INDIRECT_PROBERS } from '../constants.js';
import type { Exchanger } from '../exchange/exchanger.js';
import type { Repairer } from '../exchange/repairer.js';
import type { PauseDetector } from '../pauseDetector.js';
import type { MemberRecords } from '../records/memberRecords.js';
import type { MembershipSettings } from '../types.js';
import { toPeerTimeout } from '../errors.js';
import { sampleMembers } from './shuffledOrder.js';

export interface ProberOptions {
  readonly records: MemberRecords;
  readonly exchanger: Exchanger;
  readonly pauseDetector: PauseDetector;
  readonly transport: PeerTransport;
  readonly random: Random;
  readonly settings: MembershipSettings;
}

export class Prober {
  readonly #options: ProberOptions;

  constructor(options: ProberOptions) {
    this.#options = options;
  }

  /** Suspects the member if neither this one nor the indirect probers get an answer. */
  async probe(member: Member, repairer: Repairer): Promise<void> {
    const { records, pauseDetector } = this.#options;
    const pauses = pauseDetector.count;
    if ((await this.#reach(member, repairer)) || (await this.#reachIndirectly(member, repairer))) {
      return;
    }
    pauseDetector.check();
    if (pauseDetector.count === pauses) {
      records.suspect(member);
    }
  }

  /** Probes a member on behalf of a peer that could not reach it. */
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
      await repairer.repairRateLimited(answer).catch(() => undefined);
      return true;
    } catch {
      return false;
    }
  }

  /**
   * When the only connection to a member hangs, or just the path between two members fails, a
   * healthy member would be suspected and refute at once. Therefore the second attempt uses a new
   * connection, and other members probe at the same time.
   */
  async #reachIndirectly(member: Member, repairer: Repairer): Promise<boolean> {
    const tries = [
      this.#reach(member, repairer),
      ...this.#chooseIndirectProbers(member).map((prober) => this.#probeThrough(prober, member)),
    ];
    const reached = tries.map(async (attempt) => (await attempt) || Promise.reject(new Error()));
    return Promise.any(reached).catch(() => false);
  }

  async #probeThrough(prober: Member, member: Member): Promise<boolean> {
    const { transport, settings } = this.#options;
    const { address, incarnation } = member;
    const call = transport.getPeer(prober.address).membership.probe({ address, incarnation });
    try {
      const { probeTimeoutMs } = settings;
      const timeout = toPeerTimeout(probeTimeoutMs);
      return (await withTimeout(call, probeTimeoutMs, timeout)).isAlive;
    } catch {
      return false;
    }
  }

  /**
   * Chooses members of the local data centre; for a remote member, also one of its data centre and
   * one of a third.
   */
  #chooseIndirectProbers(member: Member): readonly Member[] {
    const { records, random } = this.#options;
    const { dataCentre } = records.self;
    const others = records.listOthers().filter((other) => other.incarnation !== member.incarnation);
    const near = others.filter((other) => other.dataCentre === dataCentre);
    if (member.dataCentre === dataCentre) {
      return sampleMembers(near, INDIRECT_PROBERS, random);
    }
    const there = others.filter((other) => other.dataCentre === member.dataCentre);
    const third = others.filter(
      (other) => other.dataCentre !== dataCentre && other.dataCentre !== member.dataCentre,
    );
    return [near, there, third].flatMap((members) => sampleMembers(members, 1, random));
  }
}
