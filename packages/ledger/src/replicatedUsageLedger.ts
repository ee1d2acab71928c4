/** The usage ledger of one daemon: its own records, and the replicas it holds for others. */
import {
  getErrorMessage,
  spawnHandlerActor,
  startActorSystem,
  stopActorSystem,
  type ActorSystem,
  type HandlerActor,
} from '@snipehaven/common';
import type {
  Member,
  OpenUsage,
  UsageEntry,
  UsageHandlers,
  UsageStream,
} from '@snipehaven/protocol';
import { Adopter } from './adopter.js';
import { DEFAULT_LEDGER_SETTINGS } from './constants.js';
import { LedgerFullError, LedgerStoppedError, WrongPeerError } from './errors.js';
import { FlushPace } from './flushPace.js';
import { handOver } from './handOver.js';
import { HeldRecords } from './heldRecords.js';
import { LedgerFlusher } from './ledgerFlusher.js';
import { LedgerSpiller } from './ledgerSpiller.js';
import { RecordBook } from './recordBook.js';
import { Replicator } from './replicator.js';
import { TakenRecords } from './takenRecords.js';
import type {
  LedgerSettings,
  ReplicatedUsageLedgerOptions,
  Settlement,
  UsageLedger,
} from './types.js';

/** `backlog` writes one batch and spills if needed; `all` writes until nothing is left or a write fails. */
interface FlushMessage {
  readonly type: 'backlog' | 'all';
  readonly done: () => void;
}

/** Jitter as a share of the interval, so that daemons do not flush at the same time. */
const JITTER_SHARE = 0.2;

export class ReplicatedUsageLedger implements UsageLedger {
  /**
   * Handles messages of other daemons. Messages for another incarnation are refused: a new daemon at a
   * dead one's address would take its replica, which the owner never releases, and later add adopted
   * entries to the owner's. Replicas are refused during the handover, since they would be lost with this
   * daemon; the owner chooses its next peer. Removals are accepted until the end, since the removed
   * records would otherwise be handed over needlessly.
   */
  readonly handlers: UsageHandlers = {
    replicate: async (message) => {
      const isCopy = message.opened.length + message.settled.length > 0;
      if (this.#state === 'stopped' || (this.#state === 'stopping' && isCopy)) {
        throw new LedgerStoppedError('this daemon is stopping and accepts no replicas');
      }
      if (message.peer !== this.#options.self) {
        throw new WrongPeerError(`message meant for ${message.peer}`);
      }
      this.#adopter.noteAlive(message.owner);
      const held = this.#held.apply(message);
      if (this.#state === 'stopping') {
        void this.#taken.take(message.owner, this.#held.list(message.owner));
      }
      return { held };
    },
  };

  readonly #options: ReplicatedUsageLedgerOptions;

  readonly #settings: LedgerSettings;

  readonly #system: ActorSystem = startActorSystem();

  readonly #book = new RecordBook();

  readonly #held = new HeldRecords();

  readonly #replicator: Replicator;

  readonly #taken: TakenRecords;

  readonly #flusher: LedgerFlusher;

  readonly #spiller: LedgerSpiller;

  readonly #pace: FlushPace;

  readonly #adopter: Adopter;

  readonly #flushActor: HandlerActor<FlushMessage>;

  #state: 'running' | 'stopping' | 'stopped' = 'running';

  #flushTimer: NodeJS.Timeout | undefined;

  #checkTimer: NodeJS.Timeout | undefined;

  #endListening: (() => void) | undefined;

  constructor(options: ReplicatedUsageLedgerOptions) {
    this.#options = options;
    this.#settings = { ...DEFAULT_LEDGER_SETTINGS, ...options.settings };
    const onLasting = (entries: readonly UsageEntry[]): void => this.#onLasting(entries);
    const shared = { ...options, book: this.#book, settings: this.#settings, onLasting };
    this.#flusher = new LedgerFlusher(shared);
    this.#spiller = new LedgerSpiller(shared);
    this.#pace = new FlushPace(options.membership, this.#settings);
    const getLedger = (): string => this.#flusher.ledger;
    this.#replicator = new Replicator({ ...shared, system: this.#system, getLedger });
    this.#taken = new TakenRecords(this.#book, this.#replicator);
    this.#adopter = new Adopter({
      ...shared,
      held: this.#held,
      replicator: this.#replicator,
      taken: this.#taken,
    });
    this.#flushActor = spawnHandlerActor<FlushMessage>(
      this.#system,
      'usageFlusher',
      {
        backlog: (message) => this.#run(message, () => this.#flushBacklog()),
        all: (message) => this.#run(message, () => this.#flushAll()),
      },
      (error) => options.logger.error({ error: getErrorMessage(error) }, 'flush failed'),
    );
  }

  /** Starts the periodic flush and the checks of owners and peers. */
  start(): void {
    this.#scheduleFlush();
    this.#checkTimer = setInterval(() => this.#check(), this.#settings.checkIntervalMs);
    this.#checkTimer.unref();
    this.#endListening = this.#options.membership.onChange((member) => this.#onMember(member));
  }

  async open(usage: OpenUsage): Promise<void> {
    this.#assertRoom();
    this.#book.open(usage);
    await this.#replicator.replicate(usage.requestId);
  }

  async addStream(requestId: string, stream: UsageStream): Promise<void> {
    this.#book.addStream(requestId, stream);
    await this.#replicator.replicate(requestId);
  }

  async settle(requestId: string, settlement: Settlement): Promise<void> {
    const settler = { settledBy: this.#options.self, isAdopted: false };
    const entry = this.#book.settle(requestId, settlement, settler);
    if (entry) {
      const { outcome, costMicroUsd } = entry;
      const subject = { requestId, team: entry.team };
      this.#options.timeline.record('usageSettled', subject, { outcome, costMicroUsd });
    }
    if (this.#book.getRecord(requestId)) {
      await this.#replicator.replicate(requestId);
    }
  }

  discard(requestId: string): void {
    if (this.#book.discard(requestId)) {
      this.#replicator.forget(requestId);
    }
  }

  getPendingCount(): number {
    return this.#book.pendingCount;
  }

  /** Number of replicas held for other daemons, or for the given owner only. */
  getHeldCount(owner?: string): number {
    return owner === undefined ? this.#held.count() : this.#held.list(owner).length;
  }

  async flush(): Promise<number> {
    await this.#tellFlush('all');
    return this.getPendingCount();
  }

  /**
   * Stops accepting records, flushes the own and the held settled ones, spills what the table does not
   * accept, and replicates the rest to the peer. Resolves with the number of records that are not durable:
   * own ones left to the peer, and those of others for which no daemon is responsible.
   */
  async stop(): Promise<number> {
    if (this.#state !== 'running') {
      return this.getPendingCount();
    }
    this.#state = 'stopping';
    this.#adopter.stop();
    clearTimeout(this.#flushTimer);
    const left = await this.#handOver();
    this.#state = 'stopped';
    clearInterval(this.#checkTimer);
    this.#endListening?.();
    this.#replicator.stop();
    this.#flushActor.stop();
    stopActorSystem(this.#system);
    return left;
  }

  #handOver(): Promise<number> {
    return handOver({
      ...this.#options,
      book: this.#book,
      held: this.#held,
      taken: this.#taken,
      replicator: this.#replicator,
      stopTimeoutMs: this.#settings.stopTimeoutMs,
      flush: () => this.flush(),
      spill: () => this.#spiller.spillAbove(0),
    });
  }

  #assertRoom(): void {
    if (this.#state !== 'running') {
      throw new LedgerStoppedError('this daemon opens no more records');
    }
    const count = this.getPendingCount();
    if (count >= this.#settings.maxPendingRecords) {
      throw new LedgerFullError(count, this.#pace.getDelayMs(false));
    }
  }

  #onLasting(entries: readonly UsageEntry[]): void {
    this.#book.removeLasting(entries);
    entries
      .filter((entry) => !this.#book.getRecord(entry.requestId))
      .forEach((entry) => this.#replicator.forget(entry.requestId));
  }

  /**
   * When an owner becomes suspect, its replicas also become own records, with a replica on the own peer,
   * and settled ones are written at once; an owner that is alive gets its open ones back. Adoption takes
   * about ten seconds, during which a single replica is too few: if owner and holder were both killed,
   * answered requests would have no bill.
   */
  #onMember({ incarnation, state }: Member): void {
    this.#replicator.check();
    if (state === 'alive') {
      this.#taken.giveBack(incarnation);
      return;
    }
    const records = this.#held.list(incarnation);
    if (records.length > 0) {
      void this.#taken.take(incarnation, records);
      void this.#tellFlush('backlog');
    }
  }

  #check(): void {
    this.#replicator.check();
    this.#adopter.check();
  }

  #scheduleFlush(): void {
    const hasBacklog = this.#book.settledCount >= this.#settings.maxBatchEntries;
    const meanMs = this.#pace.getDelayMs(hasBacklog);
    const jitter = 1 + JITTER_SHARE * (2 * this.#options.random.next() - 1);
    this.#flushTimer = setTimeout(() => this.#onFlushDue(), meanMs * jitter);
    this.#flushTimer.unref();
  }

  #onFlushDue(): void {
    void this.#tellFlush('backlog').then(() => {
      if (this.#state === 'running') {
        this.#scheduleFlush();
      }
    });
  }

  #tellFlush(type: FlushMessage['type']): Promise<void> {
    return new Promise((done) => {
      this.#flushActor.tell({ type, done });
    });
  }

  async #run(message: FlushMessage, flush: () => Promise<void>): Promise<void> {
    try {
      await flush();
    } finally {
      message.done();
    }
  }

  async #flushBacklog(): Promise<void> {
    const result = await this.#flusher.flushBatch();
    this.#pace.noteResult(result);
    if (result === 'failed') {
      await this.#spiller.spillAbove(this.#settings.spillThresholdRecords);
    }
  }

  async #flushAll(): Promise<void> {
    let result = await this.#flusher.flushBatch();
    while (result === 'flushed' || result === 'revived') {
      result = await this.#flusher.flushBatch();
    }
  }
}
