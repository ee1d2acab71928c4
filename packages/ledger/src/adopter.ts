/** Settles the records of dead owners whose replicas this daemon holds. */
import { getErrorMessage, sleep, type Logger, type Random } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { TableClient } from '@snipehaven/platform';
import type { OpenUsage, UsageEntry } from '@snipehaven/protocol';
import type { TimelineRecorder } from '@snipehaven/timeline';
import { closeCursor } from './closeCursor.js';
import { createToken } from './createToken.js';
import { DeathConfirmer } from './deathConfirmer.js';
import { askEngines, getAdoptedSettlement, type AccountEngines } from './engineAccounts.js';
import type { HeldRecord, HeldRecords } from './heldRecords.js';
import type { RecordBook } from './recordBook.js';
import type { Replicator } from './replicator.js';
import type { TakenRecords } from './takenRecords.js';
import type { LedgerSettings } from './types.js';

export interface AdopterOptions {
  readonly self: string;
  readonly held: HeldRecords;
  readonly book: RecordBook;
  readonly replicator: Replicator;
  readonly taken: TakenRecords;
  readonly table: TableClient;
  readonly engines: AccountEngines;
  readonly membership: MembershipView;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly random: Random;
  readonly settings: LedgerSettings;
  /** Called with entries that are now stored durably in the platform. */
  readonly onLasting: (entries: readonly UsageEntry[]) => void;
}

/** A replica of an open record. */
interface HeldOpen {
  readonly held: HeldRecord;
  readonly usage: OpenUsage;
}

const listOpen = (records: readonly HeldRecord[]): readonly HeldOpen[] =>
  records.flatMap((held) =>
    held.record.kind === 'open' ? [{ held, usage: held.record.usage }] : [],
  );

const listEntries = (records: readonly HeldRecord[]): readonly UsageEntry[] =>
  records.flatMap((held) => (held.record.kind === 'settled' ? [held.record.entry] : []));

export class Adopter {
  readonly #options: AdopterOptions;

  readonly #deaths: DeathConfirmer;

  readonly #underWay = new Set<string>();

  #isStopped = false;

  constructor(options: AdopterOptions) {
    this.#options = options;
    this.#deaths = new DeathConfirmer(options.settings);
  }

  /** A message from an owner shows that it is alive, whatever membership reports. */
  noteAlive(owner: string): void {
    this.#deaths.noteAlive(owner);
  }

  /** Starts adopting the records of owners that are confirmed dead. */
  check(): void {
    const { held, membership } = this.#options;
    if (this.#isStopped) {
      return;
    }
    this.#deaths
      .check(
        held.listOwners(),
        (owner) => membership.isIncarnationAlive(owner),
        (owner) => membership.getMember(owner) !== undefined,
      )
      .filter((owner) => !this.#underWay.has(owner))
      .forEach((owner) => {
        void this.#adopt(owner);
      });
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #adopt(owner: string): Promise<void> {
    const { held, logger } = this.#options;
    this.#underWay.add(owner);
    try {
      await this.#adoptRecords(owner, held.list(owner));
      held.dropEmptyOwner(owner);
      this.#deaths.forget(owner);
    } catch (error) {
      logger.error({ owner, error: getErrorMessage(error) }, 'adoption of usage records failed');
    } finally {
      this.#underWay.delete(owner);
    }
  }

  /**
   * The records first become the adopter's own, with a replica on its peer. If the adopter dies while it
   * asks the engines, the peer adopts them in turn; otherwise they would be lost.
   */
  async #adoptRecords(owner: string, records: readonly HeldRecord[]): Promise<void> {
    await this.#options.taken.take(owner, records);
    if (records.length === 0) {
      return;
    }
    const entries = listEntries(records);
    const open = listOpen(records);
    await this.#closeLedger(owner, entries);
    const settled = records.filter((held) => held.record.kind === 'settled');
    this.#options.held.dropAdopted(owner, settled);
    await this.#settleAll(owner, open);
    const detail = { owner, settled: entries.length, open: open.length };
    this.#options.timeline.record('usageAdopted', {}, detail);
  }

  /** Entries not written here are flushed like the own ones; writing an entry twice is harmless. */
  async #closeLedger(owner: string, entries: readonly UsageEntry[]): Promise<void> {
    const { held, table, random, self, settings, onLasting } = this.#options;
    const written = entries.slice(0, settings.maxClosingEntries);
    const result = await closeCursor({
      table,
      ledger: held.getLedger(owner),
      entries: written,
      closedBy: self,
      token: createToken(self, random),
      timeoutMs: settings.platformTimeoutMs,
      isOwnerAlive: () => this.#isBack(owner),
    });
    if (result === 'closed') {
      onLasting(written);
    }
  }

  async #settleAll(owner: string, open: readonly HeldOpen[]): Promise<void> {
    const queue = [...open];
    const work = async (): Promise<void> => {
      for (let next = queue.shift(); next; next = queue.shift()) {
        await this.#settleOrGiveBack(owner, next);
      }
    };
    const { adoptionParallelism } = this.#options.settings;
    await Promise.all(Array.from({ length: adoptionParallelism }, work));
  }

  /** If the owner is alive again it continues its request, and no more of its runs are cancelled. */
  async #settleOrGiveBack(owner: string, { held, usage }: HeldOpen): Promise<void> {
    await this.#waitForWord(usage.ownedBy);
    if (this.#isStopped) {
      return;
    }
    if (this.#isBack(owner)) {
      this.#options.taken.drop(usage.requestId);
      return;
    }
    if (usage.ownedBy !== undefined && this.#isBack(usage.ownedBy)) {
      this.#options.taken.drop(usage.requestId);
    } else {
      await this.#settle(usage, held.receivedAtMs);
    }
    if (!this.#isBack(owner)) {
      this.#options.held.dropAdopted(owner, [held]);
    }
  }

  /**
   * Waits until membership has decided whether a suspect owner is dead. When a daemon passes on a
   * suspect's replicas and dies, settling them at once would cut off a suspect that is alive, and dropping
   * them would lose the bills of a dead one.
   */
  async #waitForWord(owner: string | undefined): Promise<void> {
    const { membership, settings } = this.#options;
    while (owner && membership.getMember(owner)?.state === 'suspect' && !this.#isStopped) {
      await sleep(settings.checkIntervalMs);
    }
  }

  async #settle(usage: OpenUsage, receivedAtMs: number): Promise<void> {
    const { engines, settings, book, replicator, taken, self } = this.#options;
    const accounts = await askEngines(engines, { usage, receivedAtMs }, settings);
    const settlement = getAdoptedSettlement(accounts);
    if (book.getRecord(usage.requestId)?.kind !== 'open') {
      return;
    }
    if (!settlement) {
      taken.drop(usage.requestId);
      return;
    }
    book.settle(usage.requestId, settlement, { settledBy: self, isAdopted: true });
    this.#recordSettled(usage, settlement.outcome, accounts);
    await replicator.replicate(usage.requestId);
  }

  #recordSettled(
    usage: OpenUsage,
    outcome: string,
    accounts: Awaited<ReturnType<typeof askEngines>>,
  ): void {
    const unknownRuns = accounts.filter((account) => account.kind === 'unknown').length;
    const subject = { requestId: usage.requestId, team: usage.team };
    this.#options.timeline.record('usageSettled', subject, {
      outcome,
      isAdopted: true,
      unknownRuns,
    });
  }

  #isBack(owner: string): boolean {
    return this.#options.membership.isIncarnationAlive(owner);
  }
}
