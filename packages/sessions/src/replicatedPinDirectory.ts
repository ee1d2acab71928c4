/**
 * Pins of callers' own session ids. A bucket of sessions has one owner among the live members of the
 * data centre and one replica, by rendezvous hashing; the table gets the pins behind the requests.
 */
import { getErrorMessage, sleep, type Logger } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { TableClient } from '@snipehaven/platform';
import {
  PeerUnreachableError,
  type Member,
  type PeerTransport,
  type SessionHandlers,
} from '@snipehaven/protocol';
import type { TimelineRecorder } from '@snipehaven/timeline';
import { acceptOffer, mergePins } from './choosePin.js';
import { DEFAULT_PIN_SETTINGS, MAX_RECENT_MISSES } from './constants.js';
import { PinFlusher } from './pinFlusher.js';
import { PinMemory } from './pinMemory.js';
import { getBucket, getBucketKey, getSessionKey, toPin } from './pinRow.js';
import { PinTable } from './pinTable.js';
import type { Pin, PinDirectory, PinSettings } from './types.js';

export interface ReplicatedPinDirectoryOptions {
  readonly membership: Pick<MembershipView, 'self' | 'rankLocal' | 'listAlive' | 'onChange'>;
  readonly transport: PeerTransport;
  readonly table: TableClient;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly settings?: Partial<PinSettings>;
}

/** A session and who is responsible for it. */
interface Place {
  readonly teamUid: string;
  readonly session: string;
  readonly key: string;
  readonly bucket: number;
  /** Owner and replica; only the one where the data centre has a single daemon. */
  readonly holders: readonly Member[];
}

const HOLDER_COUNT = 2;

const REVIEWS_PER_LIFETIME = 8;

export class ReplicatedPinDirectory implements PinDirectory {
  /** What this daemon answers to its peers. */
  readonly handlers: SessionHandlers;

  readonly #options: ReplicatedPinDirectoryOptions;

  readonly #settings: PinSettings;

  readonly #memory: PinMemory;

  readonly #table: PinTable;

  readonly #flusher: PinFlusher;

  /** Look-ups under way, by session key. */
  readonly #lookUps = new Map<string, Promise<void>>();

  /** When look-ups ended that found nothing, oldest first. */
  readonly #misses = new Map<string, number>();

  #reviewAtMs = 0;

  #stopListening: () => void = () => undefined;

  constructor(options: ReplicatedPinDirectoryOptions) {
    this.#options = options;
    this.#settings = { ...DEFAULT_PIN_SETTINGS, ...options.settings };
    this.#memory = new PinMemory(this.#settings);
    this.#table = new PinTable({ ...options, settings: this.#settings });
    this.#flusher = new PinFlusher({
      memory: this.#memory,
      table: this.#table,
      logger: options.logger,
      settings: this.#settings,
      getDaemonCount: () => options.membership.listAlive().length,
      onRound: () => this.#reviewOwned(),
      onReplaced: (from, to) => this.#recordReplaced(from, to),
    });
    this.handlers = {
      getPin: async (message) => ({
        pin: message.isLocalOnly
          ? this.#recall(getSessionKey(message.teamUid, message.session))
          : await this.#findAsOwner(this.#locate(message.teamUid, message.session)),
      }),
      putPin: async ({ pin, isReplica }) => ({
        pin: isReplica ? this.#hold(pin) : await this.#pinAsOwner(pin),
      }),
    };
  }

  /** Pins in memory here and buckets that wait for the table; for metrics. */
  get counts(): { readonly pins: number; readonly unwrittenBuckets: number } {
    return { pins: this.#memory.size, unwrittenBuckets: this.#flusher.dirtyCount };
  }

  /** Starts writing to the table. */
  start(): void {
    this.#flusher.start();
    this.#stopListening = this.#options.membership.onChange(() => {
      this.#reviewAtMs = 0;
    });
  }

  /** Writes what is left and stops. */
  async stop(): Promise<void> {
    this.#stopListening();
    await this.#flusher.stop();
  }

  async find(teamUid: string, session: string): Promise<Pin | undefined> {
    const place = this.#locate(teamUid, session);
    const answer = await this.#askHolders(
      place,
      () => this.#findAsOwner(place),
      async (peer) => (await peer.getPin({ teamUid, session })).pin,
    );
    return this.#reconcile(place, answer);
  }

  async pin(pin: Pin): Promise<Pin> {
    const place = this.#locate(pin.teamUid, pin.session);
    const inForce = await this.#askHolders(
      place,
      () => this.#pinAsOwner(pin),
      async (peer) => (await peer.putPin({ pin, isReplica: false })).pin,
    );
    return inForce;
  }

  #locate(teamUid: string, session: string): Place {
    const key = getSessionKey(teamUid, session);
    const bucket = getBucket(key, this.#settings.bucketCount);
    const ranked = this.#options.membership.rankLocal(getBucketKey(bucket));
    return { teamUid, session, key, bucket, holders: ranked.slice(0, HOLDER_COUNT) };
  }

  /**
   * What goes wrong: the owner dies, and until membership notices, every request of its sessions fails
   * or loses its pin. One notices sessions that change version after a daemon's death. Hence the replica
   * is asked next, and when neither answers this daemon stands in with what the table knows.
   */
  async #askHolders<Answer>(
    place: Place,
    askSelf: () => Promise<Answer>,
    askPeer: (peer: SessionHandlers) => Promise<Answer>,
  ): Promise<Answer> {
    for (const holder of place.holders) {
      if (this.#isSelf(holder)) {
        break;
      }
      try {
        const peer = this.#options.transport.getPeer(holder.address).sessions;
        return await this.#waitForPeer(askPeer(peer));
      } catch (error) {
        this.#options.logger.debug({ err: getErrorMessage(error) }, 'holder of a pin away');
      }
    }
    return askSelf();
  }

  /** A pin that this daemon kept while it stood in for the holders goes back to them. */
  async #reconcile(place: Place, answer: Pin | undefined): Promise<Pin | undefined> {
    const own = this.#recall(place.key);
    const inForce = mergePins(answer, own);
    if (inForce && inForce === own && answer !== own) {
      await Promise.all(place.holders.map((holder) => this.#copyTo(holder, place.key, own)));
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
    const place = this.#locate(offered.teamUid, offered.session);
    if (!this.#recall(place.key) && !this.#wasMissed(place.key)) {
      await this.#lookUpOnce(place);
    }
    const present = this.#recall(place.key);
    const inForce = acceptOffer(present, offered);
    if (inForce !== present) {
      this.#memory.set(inForce, Date.now());
      this.#flusher.mark(place.bucket);
    }
    await this.#waitForCopy(this.#copyToReplica(place, inForce));
    return this.#recall(place.key) ?? inForce;
  }

  /** Asks the other holder and the table for a session that is not in memory, once at a time. */
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
    const others = place.holders.filter((holder) => !this.#isSelf(holder));
    const [row, ...copies] = await Promise.all([
      this.#table.readBucket(place.bucket),
      ...others.map((holder) => this.#askForCopy(holder, place)),
    ]);
    const stored = row.get(place.key);
    if (stored && stored.usedAtMs + this.#settings.pinLifetimeMs > Date.now()) {
      this.#memory.merge(toPin(stored), stored.usedAtMs);
    }
    copies.filter((pin) => pin !== undefined).forEach((pin) => this.#hold(pin));
    this.#noteMiss(place.key);
  }

  #noteMiss(key: string): void {
    const [oldest] = this.#misses.keys();
    if (oldest !== undefined && this.#misses.size >= MAX_RECENT_MISSES) {
      this.#misses.delete(oldest);
    }
    this.#misses.delete(key);
    this.#misses.set(key, Date.now());
  }

  #wasMissed(key: string): boolean {
    const missedAtMs = this.#misses.get(key);
    return missedAtMs !== undefined && Date.now() - missedAtMs < this.#settings.missFreshMs;
  }

  async #waitForPeer<Answer>(answer: Promise<Answer>): Promise<Answer> {
    const timeout = new AbortController();
    const { peerWaitMs } = this.#settings;
    const late = sleep(peerWaitMs, timeout.signal).then(() => {
      throw new PeerUnreachableError(`no answer within ${peerWaitMs} ms`);
    });
    late.catch(() => undefined);
    try {
      return await Promise.race([answer, late]);
    } finally {
      timeout.abort();
    }
  }

  async #askForCopy({ address }: Member, { teamUid, session }: Place): Promise<Pin | undefined> {
    try {
      const peer = this.#options.transport.getPeer(address).sessions;
      const copy = peer.getPin({ teamUid, session, isLocalOnly: true });
      return (await this.#waitForPeer(copy)).pin;
    } catch {
      return undefined;
    }
  }

  #recall(key: string): Pin | undefined {
    const held = this.#memory.use(key);
    return held && toPin(held);
  }

  /** Takes in a copy; whoever holds it writes it should the owner die before. */
  #hold(pin: Pin): Pin {
    return toPin({ usedAtMs: 0, ...this.#memory.merge(pin, Date.now()) });
  }

  async #copyToReplica(place: Place, pin: Pin): Promise<void> {
    const replica = place.holders.find((holder) => !this.#isSelf(holder));
    if (replica && !this.#memory.hasCopyAt(place.key, replica.incarnation)) {
      await this.#copyTo(replica, place.key, pin);
    }
  }

  async #copyTo(holder: Member, key: string, pin: Pin): Promise<void> {
    if (this.#isSelf(holder)) {
      return;
    }
    try {
      const peer = this.#options.transport.getPeer(holder.address).sessions;
      const { pin: known } = await peer.putPin({ pin, isReplica: true });
      this.#memory.merge(known, Date.now());
      this.#memory.noteCopy(key, holder.incarnation);
    } catch (error) {
      this.#options.logger.debug({ err: getErrorMessage(error) }, 'pin not copied');
    }
  }

  /** A silent replica must not hold up a request: the copy goes on behind it. */
  async #waitForCopy(copy: Promise<void>): Promise<void> {
    const timeout = new AbortController();
    await Promise.race([copy, sleep(this.#settings.replicaWaitMs, timeout.signal)]);
    timeout.abort();
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
    const { membership } = this.#options;
    this.#memory
      .listBuckets()
      .filter((bucket) => {
        const [owner] = membership.rankLocal(getBucketKey(bucket));
        return owner !== undefined && this.#isSelf(owner);
      })
      .forEach((bucket) => this.#flusher.mark(bucket));
  }

  #isSelf(member: Member): boolean {
    return member.incarnation === this.#options.membership.self.incarnation;
  }

  #recordReplaced(from: Pin, to: Pin): void {
    this.#options.timeline.record(
      'sessionMoved',
      { team: to.teamUid, session: to.session, version: to.version },
      { fromVersion: from.version, reason: 'otherDataCentre' },
    );
  }
}
