/**
 * Many daemons: each tells one of its data centre, which tells the sum of all to all of them, and the
 * sum of its data centre to those of the others. What a daemon sends and gets does not grow with their
 * number; with each telling each, 195 daemons sent 16,000 datagrams a second.
 */
import { AGGREGATOR_ORDER } from './peerOrder.js';
import { AggregatorElection } from './aggregatorElection.js';
import { NOTHING_LEARNED, subtractRolloutCounts, sumLearned, type Learned } from './learned.js';
import type { LoadMessage, LoadScope, UpstreamLoad } from './loadMessage.js';
import type { Peer } from './peerDirectory.js';
import { subtractLoads } from './peerLoads.js';
import {
  TICK_MS,
  type LoadDatagram,
  type TellingContext,
  type TellingScheme,
} from './tellingScheme.js';

/**
 * Even with nothing new: an aggregator must be heard within its silence, a daemon within two seconds.
 */
const IDLE_SUM_TICKS = 2;
const IDLE_OWN_MS = 900;

/** Readers report more often, so that other daemons detect their loss sooner. */
const IDLE_READER_MS = 300;

/** How often a daemon that waits for sums looks whether any came. */
const WAITING_TICK_MS = 3 * TICK_MS;

/** Sums for other data centres are told less often: bytes between data centres cost. */
const REMOTE_TICKS = 2;

/**
 * An aggregator of another data centre that was not heard for this long may be gone: any daemon there
 * will do.
 */
const REMOTE_SILENCE_MS = 1_500;

interface RemoteAggregator {
  readonly vm: string;
  /** Daemons that its last sum counted. */
  readonly members: number;
  readonly heardAtMs: number;
}

type TakeByScope = Readonly<Record<LoadScope, (datagram: LoadDatagram, nowMs: number) => void>>;

export class SumScheme implements TellingScheme {
  readonly #context: TellingContext;

  readonly #election: AggregatorElection;

  /** By data centre. */
  readonly #remote = new Map<string, RemoteAggregator>();

  /** What the aggregator was told last, which its sum holds. */
  #toldLoads: ReadonlyMap<string, UpstreamLoad> = new Map();

  #toldLearned: Learned = NOTHING_LEARNED;

  #lastTold = '';

  #toldAtMs = -Infinity;

  #lastSum = '';

  #isAggregator = false;

  /** The last other daemon of this data centre whose sum was accepted. */
  #lastAggregator: string | undefined;

  readonly #takeByScope: TakeByScope = {
    own: ({ message }, nowMs) => this.#takeOwn(message, nowMs),
    dataCentre: (datagram, nowMs) => this.#takeRemoteSum(datagram, nowMs),
    fleet: ({ message }, nowMs) => this.#takeFleetSum(message, nowMs),
  };

  constructor(context: TellingContext, nowMs: number) {
    const { directory } = context;
    this.#context = context;
    const listRanked = () => directory.rankLocal(AGGREGATOR_ORDER);
    this.#election = new AggregatorElection(directory.self.vm, listRanked, nowMs);
  }

  tick(ticks: number, nowMs: number): void {
    const wasAggregator = this.#isAggregator;
    this.#isAggregator = this.#election.isSelf(nowMs);
    if (this.#isAggregator && !wasAggregator) {
      this.#context.board.extendSilencePeriods(this.#lastAggregator, nowMs);
    }
    if (this.#isAggregator) {
      this.#tellFleet(ticks, nowMs);
      if (ticks % REMOTE_TICKS === 0) {
        this.#tellRemote(nowMs);
      }
      return;
    }
    this.#tellChanges(nowMs);
  }

  get tickMs(): number {
    return this.#isAggregator ? TICK_MS : WAITING_TICK_MS;
  }

  /** An aggregator's work goes with its next sum. */
  tellWork(nowMs: number): void {
    const { messenger, readOwnLoads, readOwnLearned, board, directory } = this.#context;
    const aggregator = this.#election.find(nowMs);
    const peer = aggregator === undefined ? undefined : directory.find(aggregator);
    if (peer !== undefined) {
      this.#toldLoads = readOwnLoads();
      this.#toldAtMs = nowMs;
      this.#toldLearned = readOwnLearned();
      const content = {
        loads: this.#toldLoads,
        news: board.own,
        readers: [],
        members: 0,
        learned: this.#toldLearned,
      };
      messenger.tell([peer], { ...content, scope: 'own' });
    }
  }

  tellNews(nowMs: number): void {
    this.tellWork(nowMs);
  }

  take(datagram: LoadDatagram, nowMs: number): void {
    this.#takeByScope[datagram.message.scope](datagram, nowMs);
  }

  notePause(nowMs: number): void {
    this.#election.notePause(nowMs);
  }

  /**
   * Told to a daemon that does not sum up, it was sent by one that heard another: the next goes there.
   */
  #takeOwn(message: LoadMessage, nowMs: number): void {
    if (this.#isAggregator) {
      this.#context.loads.take(message, nowMs);
      this.#context.board.take(message, nowMs);
    }
  }

  #takeFleetSum(message: LoadMessage, nowMs: number): void {
    const { directory, loads, board } = this.#context;
    const isLocal = message.dataCentre === directory.self.dataCentre;
    if (isLocal && this.#election.noteSum(message, nowMs)) {
      this.#isAggregator = false;
      this.#lastAggregator = message.vm;
      const learned = {
        ...message.learned,
        rollouts: subtractRolloutCounts(message.learned.rollouts, this.#toldLearned.rollouts),
      };
      const otherLoads = subtractLoads(message.loads, this.#toldLoads);
      loads.take({ ...message, loads: otherLoads, learned }, nowMs);
      board.takeReaders(message.readers, nowMs);
      this.#tellChanges(nowMs);
    }
  }

  #tellChanges(nowMs: number): void {
    const { readOwnLoads, board } = this.#context;
    const content = JSON.stringify([[...readOwnLoads()], board.own]);
    const idleMs = board.own.length > 0 ? IDLE_READER_MS : IDLE_OWN_MS;
    if (content !== this.#lastTold || nowMs - this.#toldAtMs >= idleMs) {
      this.#lastTold = content;
      this.tellWork(nowMs);
    }
  }

  #takeRemoteSum(datagram: LoadDatagram, nowMs: number): void {
    const { message } = datagram;
    const { loads, board } = this.#context;
    if (!this.#isAggregator) {
      this.#handOn(datagram, nowMs);
      return;
    }
    if (!this.#isBestRemote(message, nowMs)) {
      return;
    }
    const { vm, members, dataCentre } = message;
    this.#remote.set(dataCentre, { vm, members, heardAtMs: nowMs });
    loads.take(message, nowMs);
    board.takeReaders(message.readers, nowMs, message.dataCentre);
  }

  /**
   * Of two that sum up a data centre the one that was told of more daemons: one that comes back after a
   * cut tells of its own work only, until it hears the other.
   */
  #isBestRemote({ vm, dataCentre, members }: LoadMessage, nowMs: number): boolean {
    const known = this.#findHeard(dataCentre, nowMs);
    return known === undefined || known.vm === vm || members >= known.members;
  }

  /** Who sums up another data centre, while it is heard. */
  #findHeard(dataCentre: string, nowMs: number): RemoteAggregator | undefined {
    const known = this.#remote.get(dataCentre);
    const isHeard = known !== undefined && nowMs - known.heardAtMs < REMOTE_SILENCE_MS;
    return isHeard ? known : undefined;
  }

  /**
   * To whoever sums up here. Only what comes from another data centre: two daemons that each take the
   * other for the aggregator would send a datagram to and fro without end.
   */
  #handOn({ bytes, host }: LoadDatagram, nowMs: number): void {
    const { directory, messenger } = this.#context;
    const peer = directory.find(this.#election.find(nowMs) ?? '');
    if (peer !== undefined && directory.isFar(host)) {
      messenger.sendTo([peer], bytes);
    }
  }

  #tellFleet(ticks: number, nowMs: number): void {
    const { messenger, loads, readOwnLoads, readOwnLearned, board, directory } = this.#context;
    const sums = loads.sumUpFleet(readOwnLoads());
    const readers = board.listReaders(nowMs);
    const members = loads.daemons;
    this.#election.noteOwnSum(members);
    const content = JSON.stringify([[...sums], readers, members]);
    if (content !== this.#lastSum || ticks % IDLE_SUM_TICKS === 0) {
      this.#lastSum = content;
      const learned = sumLearned([readOwnLearned(), loads.learned]);
      const told = { loads: sums, news: [], readers, members, learned };
      messenger.tell(directory.local, { ...told, scope: 'fleet' });
    }
  }

  #tellRemote(nowMs: number): void {
    const { messenger, loads, readOwnLoads, readOwnLearned, board, directory } = this.#context;
    const { dataCentre } = directory.self;
    const sums = loads.sumUp(dataCentre, readOwnLoads());
    const readers = board.listReaders(nowMs).filter((one) => one.dataCentre === dataCentre);
    const peers = directory.pickFar().map((drawn) => this.#findRemote(drawn, nowMs));
    const members = loads.daemons;
    const learned = sumLearned([readOwnLearned(), loads.findLearnedIn(dataCentre)]);
    const told = { loads: sums, news: [], readers, members, learned };
    messenger.tell(peers, { ...told, scope: 'dataCentre' });
  }

  /** The aggregator of the peer's data centre, or the peer while that is not known. */
  #findRemote(peer: Peer, nowMs: number): Peer {
    const known = this.#findHeard(peer.dataCentre, nowMs);
    return (known && this.#context.directory.find(known.vm)) ?? peer;
  }
}
