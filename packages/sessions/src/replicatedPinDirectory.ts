/**
 * The directory of pins for callers' own session ids. A bucket of sessions has one owner among the
 * live members of the data centre and one replica, chosen by rendezvous hashing; pins are written
 * to the table in the background.
 */
import type { Logger } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { TableClient } from '@snipehaven/platform';
import type { Member, PeerTransport, SessionHandlers } from '@snipehaven/protocol';
import type { TimelineRecorder } from '@snipehaven/timeline';
import { resolveOffer, mergePins } from './choosePin.js';
import { DEFAULT_PIN_SETTINGS } from './constants.js';
import { PinFlusher } from './pinFlusher.js';
import { PinHolders, type PinLocation } from './pinHolders.js';
import { PinCache } from './pinCache.js';
import { getSessionKey, toPin } from './pinRow.js';
import { PinTable } from './pinTable.js';
import { MembershipChangeTracker } from './membershipChangeTracker.js';
import { NegativeLookupCache } from './negativeLookupCache.js';
import type { Pin, PinDirectory, PinSettings } from './types.js';
import { withTimeout } from './withTimeout.js';

export interface ReplicatedPinDirectoryOptions {
  readonly membership: Pick<MembershipView, 'self' | 'rankLocal' | 'listAlive' | 'onChange'>;
  readonly transport: PeerTransport;
  readonly table: TableClient;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly settings?: Partial<PinSettings>;
}

const REWRITES_PER_LIFETIME = 8;

export class ReplicatedPinDirectory implements PinDirectory {
  /** The handlers for calls from peers. */
  readonly handlers: SessionHandlers;

  readonly #options: ReplicatedPinDirectoryOptions;

  readonly #settings: PinSettings;

  readonly #cache: PinCache;

  readonly #holders: PinHolders;

  readonly #table: PinTable;

  readonly #flusher: PinFlusher;

  readonly #recentMisses: NegativeLookupCache;

  readonly #membershipChanges: MembershipChangeTracker;

  /** Look-ups in progress by session key. */
  readonly #pendingLookUps = new Map<string, Promise<void>>();

  #nextRewriteAtMs = 0;

  #stopListening: () => void = () => undefined;

  constructor(options: ReplicatedPinDirectoryOptions) {
    const settings = { ...DEFAULT_PIN_SETTINGS, ...options.settings };
    const shared = { ...options, settings };
    this.#options = options;
    this.#settings = settings;
    this.#cache = new PinCache(settings);
    const { dataCentre } = options.membership.self;
    this.#membershipChanges = new MembershipChangeTracker(
      dataCentre,
      settings.membershipChangeWindowMs,
    );
    this.#holders = new PinHolders({
      ...shared,
      usesExtendedTimeouts: () => this.#membershipChanges.hasRecentChange,
    });
    this.#table = new PinTable(shared);
    this.#recentMisses = new NegativeLookupCache(settings.missTtlMs);
    this.#flusher = new PinFlusher({
      cache: this.#cache,
      table: this.#table,
      logger: options.logger,
      settings,
      getDaemonCount: () => options.membership.listAlive().length,
      beforeFlush: () => this.#rewriteOwnedBuckets(),
      onReplaced: (from, to) => this.#recordReplaced(from, to),
    });
    this.handlers = this.#createHandlers();
  }

  /** The number of pins in memory and of buckets not yet written to the table, for metrics. */
  get counts(): { readonly pins: number; readonly unwrittenBuckets: number } {
    return { pins: this.#cache.size, unwrittenBuckets: this.#flusher.dirtyCount };
  }

  /** Starts writing to the table. */
  start(): void {
    this.#flusher.start();
    this.#stopListening = this.#options.membership.onChange((member) => {
      this.#membershipChanges.record(member);
      this.#nextRewriteAtMs = 0;
    });
  }

  /** Writes the remaining buckets and stops. */
  async stop(): Promise<void> {
    this.#stopListening();
    await this.#flusher.stop();
  }

  async find(teamUid: string, session: string): Promise<Pin | undefined> {
    const location = this.#holders.locate(teamUid, session);
    const answer = await this.#holders.callFirstHolder(
      location,
      () => this.#findAsOwner(location),
      async (peer) => (await peer.getPin({ teamUid, session })).pin,
    );
    return this.#reconcile(location, answer);
  }

  pin(pin: Pin): Promise<Pin> {
    return this.#holders.callFirstHolder(
      this.#holders.locate(pin.teamUid, pin.session),
      () => this.#pinAsOwner(pin),
      async (peer) => (await peer.putPin({ pin, isReplica: false })).pin,
    );
  }

  #createHandlers(): SessionHandlers {
    return {
      getPin: async ({ teamUid, session, isLocalOnly }) => ({
        pin: isLocalOnly
          ? this.#getCached(getSessionKey(teamUid, session))
          : await this.#findAsOwner(this.#holders.locate(teamUid, session)),
      }),
      putPin: async ({ pin, isReplica }) => ({
        pin: isReplica ? this.#mergeCopy(pin) : await this.#pinAsOwner(pin),
      }),
    };
  }

  /**
   * An owner receives a copy only from a daemon that acted as the owner, so it has to write the pin
   * itself.
   */
  #mergeCopy(pin: Pin): Pin {
    const { bucket } = this.#holders.locate(pin.teamUid, pin.session);
    if (this.#holders.ownsBucket(bucket)) {
      this.#flusher.markDirty(bucket);
    }
    return this.#cache.merge(pin, Date.now());
  }

  /** Sends the holders a pin that this daemon stored while it acted as the owner. */
  async #reconcile(location: PinLocation, answer: Pin | undefined): Promise<Pin | undefined> {
    const own = this.#getCached(location.key);
    const inForce = mergePins(answer, own);
    if (inForce && inForce === own) {
      await Promise.all(location.holders.map((holder) => this.#copyTo(holder, location, own)));
    }
    return inForce;
  }

  async #findAsOwner(location: PinLocation): Promise<Pin | undefined> {
    if (!this.#getCached(location.key)) {
      await this.#lookUpOnce(location);
    }
    const pin = this.#getCached(location.key);
    if (pin) {
      void this.#copyToReplica(location, pin);
    }
    return pin;
  }

  async #pinAsOwner(offered: Pin): Promise<Pin> {
    const location = this.#holders.locate(offered.teamUid, offered.session);
    if (!this.#getCached(location.key) && !this.#recentMisses.has(location.key)) {
      await this.#lookUpOnce(location);
    }
    const present = this.#getCached(location.key);
    const inForce = resolveOffer(present, offered);
    if (inForce !== present) {
      this.#cache.set(inForce, Date.now());
      this.#flusher.markDirty(location.bucket);
    }
    // An unresponsive replica must not delay the request; copying continues in the background.
    await withTimeout(this.#copyToReplica(location, inForce), this.#settings.replicaTimeoutMs);
    return this.#getCached(location.key) ?? inForce;
  }

  /**
   * Looks up a session that is not in memory on other members and in the table; concurrent calls
   * share one look-up.
   */
  #lookUpOnce(location: PinLocation): Promise<void> {
    const present = this.#pendingLookUps.get(location.key);
    if (present) {
      return present;
    }
    const lookUp = this.#lookUp(location).finally(() => this.#pendingLookUps.delete(location.key));
    this.#pendingLookUps.set(location.key, lookUp);
    return lookUp;
  }

  async #lookUp(location: PinLocation): Promise<void> {
    const { tableTimeoutMs, extendedTableTimeoutMs } = this.#settings;
    const isExtended = this.#membershipChanges.hasRecentChange;
    const [row, copies] = await Promise.all([
      this.#table.readBucket(location.bucket, isExtended ? extendedTableTimeoutMs : tableTimeoutMs),
      this.#holders.fetchCopies(location, isExtended),
    ]);
    const stored = row?.get(location.key);
    if (stored && stored.usedAtMs + this.#settings.pinLifetimeMs > Date.now()) {
      this.#cache.merge(toPin(stored), stored.usedAtMs);
    }
    this.#mergeCopies(copies);
    if (!row && !isExtended && copies.length === 0) {
      this.#mergeCopies(await this.#holders.fetchCopies(location, true));
    }
    this.#recentMisses.add(location.key);
  }

  #mergeCopies(copies: readonly Pin[]): void {
    copies.forEach((pin) => this.#cache.merge(pin, Date.now()));
  }

  #getCached(key: string): Pin | undefined {
    const held = this.#cache.use(key);
    return held && toPin(held);
  }

  async #copyToReplica(location: PinLocation, pin: Pin): Promise<void> {
    const replica = this.#holders.getReplica(location);
    if (replica && !this.#cache.hasCopyAt(location.key, replica.incarnation)) {
      await this.#copyTo(replica, location, pin);
    }
  }

  async #copyTo(holder: Member, location: PinLocation, pin: Pin): Promise<void> {
    if (this.#holders.isSelf(holder)) {
      return;
    }
    const known = await this.#holders.sendCopy(holder, pin);
    if (known) {
      this.#cache.merge(known, Date.now());
      this.#cache.recordCopy(location.key, holder.incarnation);
    }
  }

  /**
   * If an owner dies before it wrote its pins and the replica dies later, sessions lose their
   * version after two deaths minutes apart. A replica that becomes the owner therefore writes the
   * buckets that it holds; rows that are up to date only cost a read. This is repeated periodically
   * to update the times of last use.
   */
  #rewriteOwnedBuckets(): void {
    if (Date.now() < this.#nextRewriteAtMs) {
      return;
    }
    this.#nextRewriteAtMs = Date.now() + this.#settings.pinLifetimeMs / REWRITES_PER_LIFETIME;
    this.#cache
      .listBuckets()
      .filter((bucket) => this.#holders.ownsBucket(bucket))
      .forEach((bucket) => this.#flusher.markDirty(bucket));
  }

  #recordReplaced(from: Pin, to: Pin): void {
    this.#options.timeline.record(
      'sessionMoved',
      { team: to.teamUid, session: to.session, version: to.version },
      { fromVersion: from.version, reason: 'otherDataCentre' },
    );
  }
}
