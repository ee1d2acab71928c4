/** Reads the platform's list of VMs, which lags: a hint, never a verdict. */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { ListedVm, VmListClient } from '@snipehaven/platform';
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

  /** Addresses of live entry VMs as last read; undefined: unknown, which says nothing about anyone. */
  #listed: ReadonlySet<string> | undefined;

  constructor(vmList: VmListClient, records: MemberRecords, healer: Healer, logger: Logger) {
    this.#vmList = vmList;
    this.#records = records;
    this.#healer = healer;
    this.#logger = logger;
  }

  /** Reads the list; one that can't be read leaves no old one behind. */
  async run(): Promise<void> {
    try {
      this.#listed = VmListRounds.#collectAddresses(await this.#vmList.list());
      this.#healer.hint([...this.#listed]);
    } catch (error) {
      this.#listed = undefined;
      this.#logger.debug({ error: getErrorMessage(error) }, 'the list of VMs is away');
    }
  }

  /** For a member that reads the list no more, since another has the duty now. */
  forgetList(): void {
    this.#listed = undefined;
  }

  /** Shortens the time of suspects that the list does not show as live. */
  hastenUnlisted(): void {
    const listed = this.#listed;
    if (!listed) {
      return;
    }
    this.#records.table
      .listLive()
      .filter((member) => member.state === 'suspect' && !listed.has(member.address))
      .forEach((member) => this.#records.suspicions.hasten(member.incarnation, LISTED_GONE_FACTOR));
  }

  static #collectAddresses(vms: readonly ListedVm[]): ReadonlySet<string> {
    const live = vms.filter((vm) => vm.role === 'entry' && vm.state === 'live');
    return new Set(live.map((vm) => vm.address));
  }
}
