/** Reads the platform's list of VMs, which lags: a hint, never a verdict. */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { ListedVm, VmListClient } from '@snipehaven/platform';
import type { Member } from '@snipehaven/protocol';
import { LISTED_GONE_FACTOR } from '../constants.js';
import type { MemberRecords } from '../records/memberRecords.js';
import type { Healer } from './healer.js';

/**
 * What goes wrong: the list shows VMs that are gone and lacks those that just came; a member removed on its
 * word would be one that serves. One notices members that die though they answer. So the list only says
 * where to knock, and shortens the time of members that are already suspected for not answering.
 */
export class VmListRounds {
  readonly #vmList: VmListClient;

  readonly #records: MemberRecords;

  readonly #healer: Healer;

  readonly #logger: Logger;

  constructor(vmList: VmListClient, records: MemberRecords, healer: Healer, logger: Logger) {
    this.#vmList = vmList;
    this.#records = records;
    this.#healer = healer;
    this.#logger = logger;
  }

  async run(): Promise<void> {
    try {
      this.#use(await this.#vmList.list());
    } catch (error) {
      this.#logger.debug({ error: getErrorMessage(error) }, 'the list of VMs is away');
    }
  }

  #use(vms: readonly ListedVm[]): void {
    const listed = vms.filter((vm) => vm.role === 'entry' && vm.state === 'live');
    const addresses = listed.map((vm) => vm.address);
    this.#healer.hint(addresses);
    this.#hastenUnlisted(new Set(addresses));
  }

  #hastenUnlisted(listed: ReadonlySet<string>): void {
    const isSuspect = (member: Member): boolean => member.state === 'suspect';
    this.#records.table
      .listLive()
      .filter(isSuspect)
      .filter((member) => !listed.has(member.address))
      .forEach((member) => this.#records.suspicions.hasten(member.incarnation, LISTED_GONE_FACTOR));
  }
}
