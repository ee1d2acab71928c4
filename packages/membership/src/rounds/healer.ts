/** Contacts addresses without a live member: seeds, listed VMs and recently dead members. */
import type { Logger, Random } from '@snipehaven/common';
import { pickRandom } from '@snipehaven/common';
import type { Exchanger } from '../exchange/exchanger.js';
import type { Repairer } from '../exchange/repairer.js';
import type { MemberRecords } from '../records/memberRecords.js';

/**
 * After a network partition, each side considers the other dead and only probes live members, so
 * the two halves would stay separate although the network has recovered. Therefore the addresses of
 * dead members and seeds are tried occasionally, and an answer merges both views.
 */
export class Healer {
  readonly #records: MemberRecords;

  readonly #exchanger: Exchanger;

  readonly #repairer: Repairer;

  readonly #random: Random;

  readonly #logger: Logger;

  readonly #seeds: readonly string[];

  #listedAddresses: readonly string[] = [];

  #formerAddresses: readonly string[] = [];

  constructor(
    records: MemberRecords,
    exchanger: Exchanger,
    repairer: Repairer,
    seeds: readonly string[],
    random: Random,
    logger: Logger,
  ) {
    this.#records = records;
    this.#exchanger = exchanger;
    this.#repairer = repairer;
    this.#seeds = seeds;
    this.#random = random;
    this.#logger = logger;
  }

  /** Sets addresses that may belong to members, from a source that may be wrong. */
  setListedAddresses(addresses: readonly string[]): void {
    this.#listedAddresses = addresses;
  }

  /** Sets the addresses of members whose records were dropped. */
  setFormerAddresses(addresses: readonly string[]): void {
    this.#formerAddresses = addresses;
  }

  /** Tries one address. */
  async run(): Promise<void> {
    const address = pickRandom(this.#listCandidates(), this.#random);
    if (address !== undefined) {
      await this.#reconnect(address);
    }
  }

  async #reconnect(address: string): Promise<void> {
    try {
      const answer = await this.#exchanger.contact(address);
      await this.#repairer.repairFully(answer);
    } catch (error) {
      this.#logger.debug({ address, error }, 'no member answered at the address');
    }
  }

  #listCandidates(): readonly string[] {
    const { table } = this.#records;
    const taken = new Set(table.listLive().map((member) => member.address));
    const dead = table.list().filter((member) => member.state === 'dead');
    const ended = dead.map((member) => member.address);
    const all = [...this.#seeds, ...this.#listedAddresses, ...this.#formerAddresses, ...ended];
    return [...new Set(all)].filter((address) => !taken.has(address));
  }
}
