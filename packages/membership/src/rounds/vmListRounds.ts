/** Reads the platform's VM list. The list lags, so it is only used as a hint. */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { ListedVm, VmListClient } from '@snipehaven/platform';
import { UNLISTED_SUSPICION_FACTOR } from '../constants.js';
import type { MemberRecords } from '../records/memberRecords.js';
import type { Healer } from './healer.js';

/**
 * The list shows VMs that have ended and lacks new ones. If members were removed because of it,
 * serving members would be declared dead although they answer. Therefore the list only provides
 * addresses to contact, and shortens the time of members that are already suspected because they do
 * not answer.
 */
export class VmListRounds {
  readonly #vmList: VmListClient;

  readonly #records: MemberRecords;

  readonly #healer: Healer;

  readonly #logger: Logger;

  /** Addresses of live entry VMs as last read. Undefined means unknown, which affects no member. */
  #listed: ReadonlySet<string> | undefined;

  constructor(vmList: VmListClient, records: MemberRecords, healer: Healer, logger: Logger) {
    this.#vmList = vmList;
    this.#records = records;
    this.#healer = healer;
    this.#logger = logger;
  }

  /** Reads the list. If that fails, the previous one is discarded. */
  async run(): Promise<void> {
    try {
      this.#listed = VmListRounds.#collectAddresses(await this.#vmList.list());
      this.#healer.setListedAddresses([...this.#listed]);
    } catch (error) {
      this.#listed = undefined;
      this.#logger.debug({ error: getErrorMessage(error) }, 'could not read the VM list');
    }
  }

  /** Discards the list when another member has taken over the duty of reading it. */
  forgetList(): void {
    this.#listed = undefined;
  }

  /** Shortens the time of suspects that the list does not show as live. */
  shortenUnlistedSuspicions(): void {
    const listed = this.#listed;
    if (!listed) {
      return;
    }
    this.#records.table
      .listLive()
      .filter((member) => member.state === 'suspect' && !listed.has(member.address))
      .forEach((member) =>
        this.#records.suspicions.shorten(member.incarnation, UNLISTED_SUSPICION_FACTOR),
      );
  }

  static #collectAddresses(vms: readonly ListedVm[]): ReadonlySet<string> {
    const live = vms.filter((vm) => vm.role === 'entry' && vm.state === 'live');
    return new Set(live.map((vm) => vm.address));
  }
}
