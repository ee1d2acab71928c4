/**
 * Replicates the book's records to one peer. Changes that arrive within `replicateBatchMs`, or while a
 * call is in flight, are sent in one message.
 */
import {
  getErrorMessage,
  sleep,
  spawnHandlerActor,
  type ActorSystem,
  type HandlerActor,
  type Logger,
} from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import type { Member, PeerTransport, ReplicateUsage } from '@snipehaven/protocol';
import type { TimelineRecorder } from '@snipehaven/timeline';
import { DueTimer } from './dueTimer.js';
import { PeerChoice } from './peerChoice.js';
import { PeerReleases } from './peerReleases.js';
import type { RecordBook } from './recordBook.js';
import type { LedgerSettings } from './types.js';
import { Waiters } from './waiters.js';
import { withTimeout } from './withTimeout.js';

export interface ReplicatorOptions {
  readonly self: string;
  readonly system: ActorSystem;
  readonly book: RecordBook;
  readonly transport: PeerTransport;
  readonly membership: MembershipView;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly settings: LedgerSettings;
  /** The incarnation of the own ledger, which changes when a closed ledger is replaced by a new one. */
  readonly getLedger: () => string;
}

const FORGET_POLL_MS = 10;

interface SendMessage {
  readonly type: 'send';
}

/** A message in flight, with its record ids and the callers that wait for it. */
interface Sending {
  readonly message: ReplicateUsage;
  readonly ids: readonly string[];
  readonly waiters: ReadonlyMap<string, readonly (() => void)[]>;
}

const takeFirst = (ids: Set<string>, limit: number): readonly string[] => {
  const taken = [...ids].slice(0, limit);
  taken.forEach((id) => ids.delete(id));
  return taken;
};

export class Replicator {
  readonly #options: ReplicatorOptions;

  readonly #choice: PeerChoice;

  readonly #releases: PeerReleases;

  readonly #actor: HandlerActor<SendMessage>;

  readonly #waiters = new Waiters();

  /** Records changed since they were last replicated. */
  readonly #dirty = new Set<string>();

  /** Records removed from the book but not yet from the peer. */
  readonly #forgotten = new Set<string>();

  /** Records that the peer holds. */
  readonly #copied = new Set<string>();

  readonly #timer = new DueTimer(() => this.#actor.tell({ type: 'send' }));

  #peer: Member | undefined;

  #needsFull = true;

  /** Whether the whole book has been replicated to the current peer. */
  #isWhole = false;

  #isSending = false;

  #isAlone = false;

  #seq = 0;

  #resyncedAtMs = -Infinity;

  constructor(options: ReplicatorOptions) {
    this.#options = options;
    this.#choice = new PeerChoice(options.membership, options.settings);
    this.#releases = new PeerReleases(options.membership, (peer) =>
      this.#call(peer, this.#createEnvelope(peer, true)),
    );
    this.#actor = spawnHandlerActor<SendMessage>(
      options.system,
      'usageReplicator',
      { send: () => this.#sendAll() },
      (error) =>
        options.logger.error({ error: getErrorMessage(error) }, 'usage record replication failed'),
    );
  }

  /** The peer that holds the replica. */
  get peer(): Member | undefined {
    return this.#peer;
  }

  /** Replicates a record; resolves when the peer has its current state, or no peer is alive. */
  replicate(requestId: string): Promise<void> {
    this.#dirty.add(requestId);
    const done = this.#waiters.wait(requestId);
    this.#schedule(this.#options.settings.replicateBatchMs);
    return done;
  }

  /** Tells the peer, in a later message, that a record was removed. */
  forget(requestId: string): void {
    this.#dirty.delete(requestId);
    this.#waiters.resolve(requestId);
    if (this.#copied.has(requestId)) {
      this.#forgotten.add(requestId);
      this.#schedule(this.#options.settings.forgetDelayMs);
    }
  }

  /** Replicates the whole book to another peer if that one now ranks best. */
  check(): void {
    this.#choice.refresh();
    const hasRecords = this.#options.book.pendingCount > 0;
    if (this.#isWhole || !hasRecords) {
      this.#releases.sendDue();
    }
    if (hasRecords && this.#choice.getBest()?.incarnation !== this.#peer?.incarnation) {
      this.#schedule(0);
    }
  }

  /** Resolves once the peer holds the whole book, or if no peer is alive. */
  async replicateAll(): Promise<void> {
    await Promise.all(this.#options.book.listIds().map((id) => this.replicate(id)));
  }

  /** Whether the peer holds the current state of the record. */
  hasCopy(requestId: string): boolean {
    return this.#copied.has(requestId) && !this.#dirty.has(requestId);
  }

  /**
   * Sends outstanding removals to the current and former peers before a shutdown; resolves when they
   * were told or cannot be reached. Otherwise the peer would treat such a record as left behind, ask
   * engines for it, and report it as its own loss when it stops too.
   */
  async tellForgotten(): Promise<void> {
    while (this.#forgotten.size > 0) {
      this.#schedule(0);
      await sleep(FORGET_POLL_MS);
    }
    if (this.#isWhole || this.#options.book.pendingCount === 0) {
      await this.#releases.sendAll();
    }
  }

  stop(): void {
    this.#timer.clear();
    this.#actor.stop();
    this.#waiters.resolveAll();
  }

  #schedule(delayMs: number): void {
    if (!this.#isSending) {
      this.#timer.set(delayMs);
    }
  }

  async #sendAll(): Promise<void> {
    this.#isSending = true;
    try {
      do {
        await this.#sendNext();
      } while (this.#dirty.size > 0);
    } finally {
      this.#isSending = false;
    }
    if (this.#forgotten.size > 0) {
      this.#schedule(this.#options.settings.forgetDelayMs);
    }
  }

  async #sendNext(): Promise<void> {
    const peer = this.#choosePeer();
    if (!peer) {
      this.#goOnAlone();
      return;
    }
    const sending = this.#takeNext(peer);
    if (sending.ids.length === 0 && sending.message.forgotten.length === 0) {
      return;
    }
    try {
      const { held } = await this.#call(peer, sending.message);
      this.#onAnswered(peer, sending, held);
    } catch (error) {
      this.#onUnanswered(peer, sending, error);
    }
  }

  #choosePeer(): Member | undefined {
    const best = this.#choice.getBest();
    if (best?.incarnation !== this.#peer?.incarnation) {
      this.#releases.add(this.#peer);
      this.#releases.cancel(best);
      this.#peer = best;
      this.#beginCopy();
    }
    return best;
  }

  #beginCopy(): void {
    this.#needsFull = true;
    this.#isWhole = false;
    this.#copied.clear();
    this.#forgotten.clear();
    this.#options.book.listIds().forEach((id) => this.#dirty.add(id));
  }

  /** Without another live VM nothing can be replicated: serving goes on, and the timeline records it. */
  #goOnAlone(): void {
    if (!this.#isAlone) {
      this.#isAlone = true;
      this.#options.timeline.record('platformLost', {}, { service: 'usageReplica' });
      this.#options.logger.warn('no peer available to replicate usage records');
    }
    this.#dirty.clear();
    this.#waiters.resolveAll();
  }

  #onAccompanied(peer: Member): void {
    this.#choice.pardon(peer);
    if (this.#isAlone) {
      this.#isAlone = false;
      this.#options.timeline.record('platformBack', {}, { service: 'usageReplica', vm: peer.vm });
    }
  }

  #takeNext(peer: Member): Sending {
    const { book, settings } = this.#options;
    const ids = takeFirst(this.#dirty, settings.maxMessageRecords);
    const records = ids.map((id) => book.getRecord(id));
    const message = {
      ...this.#createEnvelope(peer, this.#needsFull),
      opened: records.flatMap((record) => (record?.kind === 'open' ? [record.usage] : [])),
      settled: records.flatMap((record) => (record?.kind === 'settled' ? [record.entry] : [])),
      forgotten: [...takeFirst(this.#forgotten, settings.maxMessageRecords)],
    };
    return { message, ids, waiters: this.#waiters.take(ids) };
  }

  #createEnvelope(peer: Member, isFull: boolean): ReplicateUsage {
    this.#seq += 1;
    const { self, getLedger } = this.#options;
    const empty = { opened: [], settled: [], forgotten: [] };
    const names = { owner: self, peer: peer.incarnation, ledger: getLedger() };
    return { ...names, seq: this.#seq, isFull, ...empty };
  }

  /** Calls `getPeer` each time, since the transport may have dropped the connection after a failure. */
  #call(peer: Member, message: ReplicateUsage): Promise<{ readonly held: number }> {
    return withTimeout(
      this.#options.transport.getPeer(peer.address).usage.replicate(message),
      this.#options.settings.replicateTimeoutMs,
      `replication to ${peer.vm}`,
    );
  }

  #onAnswered(peer: Member, sending: Sending, held: number): void {
    const { message } = sending;
    this.#needsFull = false;
    [...message.opened, ...message.settled].forEach((record) => this.#noteCopied(record.requestId));
    message.forgotten.forEach((id) => this.#copied.delete(id));
    sending.waiters.forEach((resolves) => resolves.forEach((resolve) => resolve()));
    this.#isWhole ||= this.#dirty.size === 0;
    this.#onAccompanied(peer);
    this.#checkCopy(peer, held);
  }

  /** The record may have been removed from the book while the message was in flight. */
  #noteCopied(requestId: string): void {
    this.#copied.add(requestId);
    if (!this.#options.book.getRecord(requestId)) {
      this.#forgotten.add(requestId);
    }
  }

  /**
   * Restarts replication if the peer holds a different number of records than it was sent. It may have
   * lost its replica by adopting the records while this process was paused, or by being replaced at its
   * address; later messages carry only changes, so older records would stay without a replica.
   */
  #checkCopy(peer: Member, held: number): void {
    const isDue = Date.now() - this.#resyncedAtMs >= this.#options.settings.checkIntervalMs;
    if (held === this.#copied.size || !isDue) {
      return;
    }
    const counts = { vm: peer.vm, held, expected: this.#copied.size };
    this.#options.logger.warn(
      counts,
      'peer holds an unexpected number of usage records; replicating again',
    );
    this.#resyncedAtMs = Date.now();
    this.#beginCopy();
  }

  /** It is unknown whether the message took effect, so the next peer gets the whole book. */
  #onUnanswered(peer: Member, sending: Sending, error: unknown): void {
    const detail = { vm: peer.vm, error: getErrorMessage(error) };
    this.#options.logger.warn(detail, 'replication of usage records to the peer failed');
    this.#choice.penalise(peer);
    this.#releases.add(peer);
    this.#peer = undefined;
    sending.ids.forEach((id) => this.#dirty.add(id));
    this.#waiters.putBack(sending.waiters);
    this.#beginCopy();
  }
}
