/** Makes contact with addresses that hold no live member: seeds, listed VMs and the recently dead. */
import type { Logger, Random } from '@snipehaven/common';
import { pickRandom } from '@snipehaven/common';
import type { Exchanger } from '../exchange/exchanger.js';
import type { Repairer } from '../exchange/repairer.js';
import type { MemberRecords } from '../records/memberRecords.js';

/**
 * What goes wrong: after a cut both sides hold each other dead and probe only the living, so they would
 * never meet again. One notices two halves that stay apart though the network is whole. So addresses
 * of the dead and the seeds are tried now and then; an answer brings both views together.
 */
export class Healer {
  readonly #records: MemberRecords;

  readonly #exchanger: Exchanger;

  readonly #repairer: Repairer;

  readonly #random: Random;

  readonly #logger: Logger;

  readonly #seeds: readonly string[];

  #hinted: readonly string[] = [];

  #remembered: readonly string[] = [];

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

  /** Addresses that may hold members, from a source that need not be right. */
  hint(addresses: readonly string[]): void {
    this.#hinted = addresses;
  }

  /** Addresses of members whose records were dropped. */
  remember(addresses: readonly string[]): void {
    this.#remembered = addresses;
  }

  /** Tries one address. */
  async run(): Promise<void> {
    const address = pickRandom(this.#listCandidates(), this.#random);
    if (address !== undefined) {
      await this.#meet(address);
    }
  }

  async #meet(address: string): Promise<void> {
    try {
      const answer = await this.#exchanger.contact(address);
      await this.#repairer.repairFully(answer);
    } catch (error) {
      this.#logger.debug({ address, error }, 'no member answers there');
    }
  }

  #listCandidates(): readonly string[] {
    const { table } = this.#records;
    const taken = new Set(table.listLive().map((member) => member.address));
    const dead = table.list().filter((member) => member.state === 'dead');
    const ended = dead.map((member) => member.address);
    const all = [...this.#seeds, ...this.#hinted, ...this.#remembered, ...ended];
    return [...new Set(all)].filter((address) => !taken.has(address));
  }
}
