/**
 * Pins of callers' own session ids. A bucket of sessions has one owner among the live members of the
 * data centre and one replica, by rendezvous hashing; the table gets the pins behind the requests.
 */
import type { Logger } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { TableClient } from '@snipehaven/platform';
import type { Member, PeerTransport, SessionHandlers } from '@snipehaven/protocol';
import type { TimelineRecorder } from '@snipehaven/timeline';
import { acceptOffer, mergePins } from './choosePin.js';
import { DEFAULT_PIN_SETTINGS } from './constants.js';
import { PinFlusher } from './pinFlusher.js';
import { PinHolders, type Place } from './pinHolders.js';
import { PinMemory } from './pinMemory.js';
import { getSessionKey, toPin } from './pinRow.js';
import { PinTable } from './pinTable.js';
import { RecentChanges } from './recentChanges.js';
import { RecentMisses } from './recentMisses.js';
import type { Pin, PinDirectory, PinSettings } from './types.js';
import { withinTime } from './withinTime.js';

export interface ReplicatedPinDirectoryOptions {
  readonly membership: Pick<MembershipView, 'self' | 'rankLocal' | 'listAlive' | 'onChange'>;
  readonly transport: PeerTransport;
  readonly table: TableClient;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly settings?: Partial<PinSettings>;
}

const REVIEWS_PER_LIFETIME = 8;

export class ReplicatedPinDirectory implements PinDirectory {
  /** What this daemon answers to its peers. */
  readonly handlers: SessionHandlers;

  readonly #options: ReplicatedPinDirectoryOptions;

  readonly #settings: PinSettings;

  readonly #memory: PinMemory;

  readonly #holders: PinHolders;

  readonly #table: PinTable;

  readonly #flusher: PinFlusher;

  readonly #misses: RecentMisses;

  readonly #changes: RecentChanges;

  /** Look-ups under way, by session key. */
  readonly #lookUps = new Map<string, Promise<void>>();

  #reviewAtMs = 0;

  #stopListening: () => void = () => undefined;

  constructor(options: ReplicatedPinDirectoryOptions) {
    const settings = { ...DEFAULT_PIN_SETTINGS, ...options.settings };
    const shared = { ...options, settings };
    this.#options = options;
    this.#settings = settings;
    this.#memory = new PinMemory(settings);
    const { dataCentre } = options.membership.self;
    this.#changes = new RecentChanges(dataCentre, settings.changeFreshMs);
    this.#holders = new PinHolders({ ...shared, isPatient: () => this.#changes.areFresh });
    this.#table = new PinTable(shared);
    this.#misses = new RecentMisses(settings.missFreshMs);
    this.#flusher = new PinFlusher({
      memory: this.#memory,
      table: this.#table,
      logger: options.logger,
      settings,
      getDaemonCount: () => options.membership.listAlive().length,
      onRound: () => this.#reviewOwned(),
      onReplaced: (from, to) => this.#recordReplaced(from, to),
    });
    this.handlers = this.#createHandlers();
  }

  /** Pins in memory here and buckets that wait for the table; for metrics. */
  get counts(): { readonly pins: number; readonly unwrittenBuckets: number } {
    return { pins: this.#memory.size, unwrittenBuckets: this.#flusher.dirtyCount };
  }

  /** Starts writing to the table. */
  start(): void {
    this.#flusher.start();
    this.#stopListening = this.#options.membership.onChange((member) => {
      this.#changes.note(member);
      this.#reviewAtMs = 0;
    });
  }

  /** Writes what is left and stops. */
  async stop(): Promise<void> {
    this.#stopListening();
    await this.#flusher.stop();
  }

  async find(teamUid: string, session: string): Promise<Pin | undefined> {
    const place = this.#holders.locate(teamUid, session);
    const answer = await this.#holders.ask(
      place,
      () => this.#findAsOwner(place),
      async (peer) => (await peer.getPin({ teamUid, session })).pin,
    );
    return this.#reconcile(place, answer);
  }

  pin(pin: Pin): Promise<Pin> {
    return this.#holders.ask(
      this.#holders.locate(pin.teamUid, pin.session),
      () => this.#pinAsOwner(pin),
      async (peer) => (await peer.putPin({ pin, isReplica: false })).pin,
    );
  }

  #createHandlers(): SessionHandlers {
    return {
      getPin: async ({ teamUid, session, isLocalOnly }) => ({
        pin: isLocalOnly
          ? this.#recall(getSessionKey(teamUid, session))
          : await this.#findAsOwner(this.#holders.locate(teamUid, session)),
      }),
      putPin: async ({ pin, isReplica }) => ({
        pin: isReplica ? this.#takeCopy(pin) : await this.#pinAsOwner(pin),
      }),
    };
  }

  /** An owner that gets a copy gets it from a stand-in, and writes it as its own. */
  #takeCopy(pin: Pin): Pin {
    const { bucket } = this.#holders.locate(pin.teamUid, pin.session);
    if (this.#holders.ownsBucket(bucket)) {
      this.#flusher.mark(bucket);
    }
    return this.#memory.merge(pin, Date.now());
  }

  /** A pin that this daemon kept while it stood in for the holders goes back to them. */
  async #reconcile(place: Place, answer: Pin | undefined): Promise<Pin | undefined> {
    const own = this.#recall(place.key);
    const inForce = mergePins(answer, own);
    if (inForce && inForce === own) {
      await Promise.all(place.holders.map((holder) => this.#copyTo(holder, place, own)));
    }
    return inForce;
  }

  async #findAsOwner(place: Place): Promise<Pin | undefined> {
    if (!this.#recall(place.key)) {
      await this.#lookUpOnce(place);
    }
    const pin = this.#recall(place.key);
    if (pin) {
      void this.#copyToReplica(place, pin);
    }
    return pin;
  }

  async #pinAsOwner(offered: Pin): Promise<Pin> {
    const place = this.#holders.locate(offered.teamUid, offered.session);
    if (!this.#recall(place.key) && !this.#misses.has(place.key)) {
      await this.#lookUpOnce(place);
    }
    const present = this.#recall(place.key);
    const inForce = acceptOffer(present, offered);
    if (inForce !== present) {
      this.#memory.set(inForce, Date.now());
      this.#flusher.mark(place.bucket);
    }
    // A silent replica must not hold up the request: the copy goes on behind it.
    await withinTime(this.#copyToReplica(place, inForce), this.#settings.replicaWaitMs);
    return this.#recall(place.key) ?? inForce;
  }

  /** Asks other members and the table for a session that is not in memory, once at a time. */
  #lookUpOnce(place: Place): Promise<void> {
    const present = this.#lookUps.get(place.key);
    if (present) {
      return present;
    }
    const lookUp = this.#lookUp(place).finally(() => this.#lookUps.delete(place.key));
    this.#lookUps.set(place.key, lookUp);
    return lookUp;
  }

  async #lookUp(place: Place): Promise<void> {
    const { tableWaitMs, patientTableWaitMs } = this.#settings;
    const isPatient = this.#changes.areFresh;
    const [row, copies] = await Promise.all([
      this.#table.readBucket(place.bucket, isPatient ? patientTableWaitMs : tableWaitMs),
      this.#holders.askForCopies(place, isPatient),
    ]);
    const stored = row?.get(place.key);
    if (stored && stored.usedAtMs + this.#settings.pinLifetimeMs > Date.now()) {
      this.#memory.merge(toPin(stored), stored.usedAtMs);
    }
    this.#mergeCopies(copies);
    if (!row && !isPatient && copies.length === 0) {
      this.#mergeCopies(await this.#holders.askForCopies(place, true));
    }
    this.#misses.note(place.key);
  }

  #mergeCopies(copies: readonly Pin[]): void {
    copies.forEach((pin) => this.#memory.merge(pin, Date.now()));
  }

  #recall(key: string): Pin | undefined {
    const held = this.#memory.use(key);
    return held && toPin(held);
  }

  async #copyToReplica(place: Place, pin: Pin): Promise<void> {
    const replica = this.#holders.getReplica(place);
    if (replica && !this.#memory.hasCopyAt(place.key, replica.incarnation)) {
      await this.#copyTo(replica, place, pin);
    }
  }

  async #copyTo(holder: Member, place: Place, pin: Pin): Promise<void> {
    if (this.#holders.isSelf(holder)) {
      return;
    }
    const known = await this.#holders.sendCopy(holder, pin);
    if (known) {
      this.#memory.merge(known, Date.now());
      this.#memory.noteCopy(place.key, holder.incarnation);
    }
  }

  /**
   * What goes wrong: an owner dies before it wrote its pins, and the replica dies later. One notices
   * sessions that lost their version after two deaths minutes apart. Hence a replica that becomes the
   * owner writes the buckets it holds; rows that are up to date cost a read only. The same is done now
   * and then for the times of last use.
   */
  #reviewOwned(): void {
    if (Date.now() < this.#reviewAtMs) {
      return;
    }
    this.#reviewAtMs = Date.now() + this.#settings.pinLifetimeMs / REVIEWS_PER_LIFETIME;
    this.#memory
      .listBuckets()
      .filter((bucket) => this.#holders.ownsBucket(bucket))
      .forEach((bucket) => this.#flusher.mark(bucket));
  }

  #recordReplaced(from: Pin, to: Pin): void {
    this.#options.timeline.record(
      'sessionMoved',
      { team: to.teamUid, session: to.session, version: to.version },
      { fromVersion: from.version, reason: 'otherDataCentre' },
    );
  }
}
