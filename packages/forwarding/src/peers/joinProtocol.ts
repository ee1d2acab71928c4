/**
 * Join protocol of a starting daemon. It requests the tables, the list of daemons and the store's
 * clock from the seeds, and answers daemons that start later. If 195 daemons that start together
 * each read three tables and write a row, the store receives 2,768 calls; so only a few read, and
 * the others learn from them.
 */
import type { Logger, Random } from '@snipehaven/common';
import type { StoreClock } from '../configuration/storeClock.js';
import { isNewer } from '../store/storeRevision.js';
import type { TableSnapshot } from '../store/types.js';
import type { SocketAddress } from '../types.js';
import {
  encodeJoinMessage,
  type Hello,
  type HelloQuestion,
  type JoinMessage,
} from './joinMessages.js';
import { MAX_MESH_DAEMONS, type ReaderRegistry } from './readerRegistry.js';
import type { PeerDirectory } from './peerDirectory.js';
import type { PeerMessenger } from './peerMessenger.js';
import type { Roster } from './roster.js';

export interface JoinProtocolOptions {
  readonly directory: PeerDirectory;
  readonly roster: Roster;
  readonly readerRegistry: ReaderRegistry;
  readonly messenger: PeerMessenger;
  readonly clock: StoreClock;
  readonly random: Random;
  readonly logger: Logger;
  /** Addresses of daemons from the settings; these daemons may no longer exist. */
  readonly seeds: readonly SocketAddress[];
  /** The tables that this daemon currently knows. */
  listSnapshots(): readonly TableSnapshot[];
}

/**
 * Between requests: an answer takes a few ms, and a seed that is starting too has its tables soon.
 */
const REQUEST_INTERVAL_MS = 100;

/**
 * How long a starting daemon waits for others before it reads the store itself. Drawn at random
 * from this range, so that daemons whose seeds are all gone do not ask the store at once. The upper
 * bound leaves time for seeds that start together with the others.
 */
const MIN_JOIN_TIMEOUT_MS = 500;
const MAX_JOIN_TIMEOUT_MS = 1_500;

/** Many daemons may ask at once; the answer is encoded once per this period. */
const ANSWER_CACHE_MS = 150;

/**
 * Delays after which the roster is requested again, to learn of daemons that started at the same
 * time. The first answers are short when many start together, and a daemon that nobody knows
 * receives no aggregates.
 */
const ROSTER_REQUEST_DELAYS_MS: readonly number[] = [500, 1_500, 4_000];

/**
 * For this long after its start, a daemon that received the tables from others does not read the
 * store: its first roster is short, so it would take the fleet for a small one. Of 195 daemons that
 * start together on slow machines, 149 read the store without this.
 */
const SETTLING_MS = 2_500;

/** Somewhat longer than the delay of the last roster request. */
const ANNOUNCEMENT_PERIOD_MS = 5_000;

/**
 * For a table that is too large, tells the starting daemon at once that it has to read it itself.
 */
const encodeTable = (table: TableSnapshot): Buffer | undefined =>
  encodeJoinMessage({ kind: 'table', table }) ??
  encodeJoinMessage({ kind: 'untold', untold: table.table });

/** Omits messages that are too large for a datagram. */
const encodeAll = (messages: readonly JoinMessage[]): readonly Buffer[] =>
  messages.flatMap((message) => encodeJoinMessage(message) ?? []);

interface CachedAnswer {
  readonly madeAtMs: number;
  readonly roster: readonly Buffer[];
  readonly rest: readonly Buffer[];
}

type HandlersByKind = {
  readonly [Kind in JoinMessage['kind']]: (
    message: Extract<JoinMessage, { kind: Kind }>,
    nowMs: number,
  ) => void;
};

export class JoinProtocol {
  readonly #options: JoinProtocolOptions;

  readonly #isSeed: boolean;

  readonly #snapshots = new Map<string, TableSnapshot>();

  /** Tables that other daemons know but cannot send. */
  readonly #oversizedTables = new Set<string>();

  /** Pending `waitForSnapshot` calls, keyed by table. */
  readonly #waiters = new Map<string, (snapshot: TableSnapshot | undefined) => void>();

  /** When each request was sent, on the monotonic clock; indexed by `questionId - 1`. */
  readonly #requestedAtMs: number[] = [];

  #timer: NodeJS.Timeout | undefined;

  #deadlineAtMs = Infinity;

  #settlesAtMs = -Infinity;

  /** After this time the periodic exchange of rosters is sufficient. */
  #announcesUntilMs = -Infinity;

  readonly #rosterTimers: NodeJS.Timeout[] = [];

  /** Daemons to which this one has announced itself. */
  readonly #announcedTo = new Set<string>();

  #answer: CachedAnswer | undefined;

  readonly #handlersByKind: HandlersByKind = {
    hello: ({ hello }, nowMs) => this.#handleHello(hello, nowMs),
    clock: ({ clock }) => {
      const askedAtMs = this.#requestedAtMs[clock.questionId - 1];
      if (askedAtMs !== undefined) {
        this.#options.clock.noteBounds(askedAtMs, {
          atMostMs: clock.storeNowAtMostMs,
          ...(clock.storeNowAtLeastMs === undefined ? {} : { atLeastMs: clock.storeNowAtLeastMs }),
        });
      }
    },
    roster: ({ roster }, nowMs) => {
      this.#options.roster.merge(roster, nowMs);
      if (nowMs < this.#announcesUntilMs) {
        this.#announce();
      }
    },
    readers: ({ readers }, nowMs) => this.#handleReaders(readers, nowMs),
    table: ({ table }) => this.#handleTable(table),
    untold: ({ untold }) => this.#handleOversizedTable(untold),
  };

  constructor(options: JoinProtocolOptions) {
    this.#options = options;
    const { host } = options.directory.self;
    this.#isSeed = options.seeds.some((seed) => seed.host === host);
  }

  start(): void {
    this.#settlesAtMs = performance.now() + SETTLING_MS;
    const others = this.#listOtherSeeds();
    if (others.length === 0) {
      this.#finish();
      return;
    }
    const { random } = this.#options;
    this.#announcesUntilMs = performance.now() + ANNOUNCEMENT_PERIOD_MS;
    const timeoutMs =
      MIN_JOIN_TIMEOUT_MS + random.next() * (MAX_JOIN_TIMEOUT_MS - MIN_JOIN_TIMEOUT_MS);
    this.#deadlineAtMs = performance.now() + timeoutMs;
    this.#sendRequest(others, 'all');
    this.#timer = setInterval(() => this.#retry(others), REQUEST_INTERVAL_MS);
    ROSTER_REQUEST_DELAYS_MS.forEach((delayMs) => {
      this.#rosterTimers.push(setTimeout(() => this.#sendRequest(others, 'roster'), delayMs));
    });
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#rosterTimers.forEach(clearTimeout);
  }

  /**
   * The table as known by another daemon. Undefined if none sent it in time, and at once on a seed,
   * because the other daemons wait for it.
   */
  async waitForSnapshot(table: string): Promise<TableSnapshot | undefined> {
    const known = this.#snapshots.get(table);
    if (known !== undefined || this.#hasEnded || this.#isSeed || this.#oversizedTables.has(table)) {
      return known;
    }
    return new Promise((resolve) => {
      this.#waiters.set(table, resolve);
    });
  }

  /**
   * Whether this daemon has just received the tables from others and may not know all daemons yet.
   */
  isSettling(nowMs: number): boolean {
    return !this.#isSeed && this.#snapshots.size > 0 && nowMs < this.#settlesAtMs;
  }

  /**
   * Whether there was enough time to discover the other daemons, through seeds or else through the
   * store.
   */
  hasDiscoveredPeers(nowMs: number): boolean {
    return nowMs >= this.#settlesAtMs;
  }

  receive(message: JoinMessage, nowMs: number): void {
    const handle = this.#handlersByKind[message.kind] as (one: JoinMessage, nowMs: number) => void;
    handle(message, nowMs);
  }

  get #hasEnded(): boolean {
    return this.#deadlineAtMs === -Infinity;
  }

  #listOtherSeeds(): readonly SocketAddress[] {
    const { host } = this.#options.directory.self;
    return this.#options.seeds.filter((seed) => seed.host !== host);
  }

  /**
   * Announces this daemon to all seeds; one of them, picked at random, is asked for the given
   * information.
   */
  #sendRequest(seeds: readonly SocketAddress[], asks: HelloQuestion): void {
    this.#requestedAtMs.push(performance.now());
    const pickedIndex = this.#options.random.nextInt(seeds.length);
    seeds.forEach((seed, index) =>
      this.#sendHello([seed], index === pickedIndex ? asks : 'nothing'),
    );
  }

  #sendHello(addresses: readonly SocketAddress[], asks: HelloQuestion): void {
    const { directory, messenger } = this.#options;
    const hello = { peer: directory.self, asks, questionId: this.#requestedAtMs.length };
    messenger.sendIfEncoded(addresses, encodeJoinMessage({ kind: 'hello', hello }));
  }

  #retry(seeds: readonly SocketAddress[]): void {
    const hasTimedOut = performance.now() >= this.#deadlineAtMs;
    const isComplete = this.#announcedTo.size > 0 && this.#waiters.size === 0;
    if (hasTimedOut || isComplete) {
      this.#finish();
      return;
    }
    this.#sendRequest(seeds, 'all');
  }

  #finish(): void {
    clearInterval(this.#timer);
    this.#deadlineAtMs = -Infinity;
    const { logger, directory } = this.#options;
    const missing = [...this.#waiters.keys()];
    logger.info(
      {
        event: 'joined',
        tables: [...this.#snapshots.keys()],
        missing,
        questions: this.#requestedAtMs.length,
        daemons: directory.daemonCount,
      },
      'finished requesting tables from other daemons',
    );
    this.#waiters.forEach((resolve) => resolve(undefined));
    this.#waiters.clear();
  }

  #handleHello({ peer, asks, questionId }: Hello, nowMs: number): void {
    const { roster, messenger } = this.#options;
    roster.record(peer, nowMs);
    const answers: Readonly<Record<HelloQuestion, () => readonly Buffer[]>> = {
      nothing: () => [],
      roster: () => this.#getAnswer(nowMs).roster,
      all: () => {
        const { roster: who, rest } = this.#getAnswer(nowMs);
        return [...this.#encodeClock(questionId), ...who, ...rest];
      },
    };
    answers[asks]().forEach((datagram) => messenger.sendTo([peer], datagram));
  }

  /** The clock is sent first, because the timestamps of the following messages refer to it. */
  #encodeClock(questionId: number): readonly Buffer[] {
    const bounds = this.#options.clock.toStoreBounds(performance.now());
    if (bounds === undefined) {
      return [];
    }
    const clock = {
      questionId,
      storeNowAtMostMs: bounds.atMostMs,
      ...(bounds.atLeastMs === undefined ? {} : { storeNowAtLeastMs: bounds.atLeastMs }),
    };
    return encodeAll([{ kind: 'clock', clock }]);
  }

  #getAnswer(nowMs: number): CachedAnswer {
    const known = this.#answer;
    if (known !== undefined && nowMs - known.madeAtMs < ANSWER_CACHE_MS) {
      return known;
    }
    const { roster, readerRegistry, listSnapshots } = this.#options;
    const answer = {
      madeAtMs: nowMs,
      roster: encodeAll([{ kind: 'roster', roster: roster.list(nowMs) }]),
      rest: [
        ...encodeAll([{ kind: 'readers', readers: readerRegistry.listReaders(nowMs) }]),
        ...listSnapshots().flatMap((table) => encodeTable(table) ?? []),
      ],
    };
    this.#answer = answer;
    return answer;
  }

  /** Accepts reader reports from others only until this daemon has joined. */
  #handleReaders(
    readers: Extract<JoinMessage, { kind: 'readers' }>['readers'],
    nowMs: number,
  ): void {
    if (!this.#hasEnded) {
      this.#options.readerRegistry.receiveReaders(readers, nowMs);
    }
  }

  #handleTable(snapshot: TableSnapshot): void {
    const { table } = snapshot;
    const known = this.#snapshots.get(table);
    if (this.#hasEnded || (known !== undefined && isNewer(known, snapshot))) {
      return;
    }
    this.#snapshots.set(table, snapshot);
    this.#waiters.get(table)?.(snapshot);
    this.#waiters.delete(table);
  }

  /**
   * Stops waiting for a table that is too large to be sent, instead of waiting for the time-out.
   */
  #handleOversizedTable(table: string): void {
    if (!this.#hasEnded && !this.#snapshots.has(table)) {
      this.#oversizedTables.add(table);
      this.#waiters.get(table)?.(undefined);
      this.#waiters.delete(table);
    }
  }

  /** Announces this daemon to the others of its data centre, or to all in a small fleet. */
  #announce(): void {
    const { directory } = this.#options;
    const peers = directory.daemonCount <= MAX_MESH_DAEMONS ? directory.all : directory.local;
    const newPeers = peers.filter(({ vm }) => !this.#announcedTo.has(vm));
    newPeers.forEach(({ vm }) => this.#announcedTo.add(vm));
    this.#sendHello(newPeers, 'nothing');
  }
}
