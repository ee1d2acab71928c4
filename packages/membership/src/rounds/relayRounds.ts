/** Exchanges with the other data centres, so that all members learn of each other. */
import type { Random } from '@snipehaven/common';
import type { Member } from '@snipehaven/protocol';
import { RELAYS_PER_DATA_CENTRE } from '../constants.js';
import type { Duties } from '../duties.js';
import type { Repairer } from '../exchange/repairer.js';
import type { MemberRecords } from '../records/memberRecords.js';
import type { Prober } from './prober.js';
import { ShuffledOrder } from './shuffledOrder.js';

export class RelayRounds {
  readonly #records: MemberRecords;

  readonly #duties: Duties;

  readonly #prober: Prober;

  readonly #repairer: Repairer;

  readonly #random: Random;

  readonly #orders = new Map<string, ShuffledOrder>();

  constructor(
    records: MemberRecords,
    duties: Duties,
    prober: Prober,
    repairer: Repairer,
    random: Random,
  ) {
    this.#records = records;
    this.#duties = duties;
    this.#prober = prober;
    this.#repairer = repairer;
    this.#random = random;
  }

  /** Probes one member of each data centre for which this member is a relay. */
  async run(): Promise<void> {
    const targets = this.#listDataCentres()
      .filter((dataCentre) => this.#isRelayTo(dataCentre))
      .map((dataCentre) => this.#nextIn(dataCentre));
    await Promise.all(
      targets.map((target) => target && this.#prober.probe(target, this.#repairer)),
    );
  }

  #listDataCentres(): readonly string[] {
    const own = this.#records.self.dataCentre;
    const all = this.#records.table.listLive().map((member) => member.dataCentre);
    return [...new Set(all)].filter((dataCentre) => dataCentre !== own);
  }

  #isRelayTo(dataCentre: string): boolean {
    return this.#duties
      .rankLocal(`relay/${dataCentre}`)
      .slice(0, RELAYS_PER_DATA_CENTRE)
      .includes(this.#records.self);
  }

  #nextIn(dataCentre: string): Member | undefined {
    const order = this.#orders.get(dataCentre) ?? new ShuffledOrder(this.#random);
    this.#orders.set(dataCentre, order);
    const members = this.#records.table.listLive();
    return order.next(members.filter((member) => member.dataCentre === dataCentre));
  }
}
