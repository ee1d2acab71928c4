/**
 * Load sharing for large fleets. Each daemon reports to the aggregator of its data centre, which
 * sends the fleet-wide sum back to all of them and the sum of its data centre to the other data
 * centres. The traffic of a daemon therefore does not grow with the size of the fleet; in a full
 * mesh, 195 daemons sent 16,000 datagrams a second.
 */
import { AGGREGATOR_ORDER } from './rendezvousOrder.js';
import { AggregatorElection } from './aggregatorElection.js';
import {
  NO_STATISTICS,
  subtractRolloutCounts,
  sumStatistics,
  type SharedStatistics,
} from './sharedStatistics.js';
import type { LoadMessage, LoadScope, UpstreamLoad } from './loadMessage.js';
import type { Peer } from './peerDirectory.js';
import { subtractLoads } from './peerLoads.js';
import {
  TICK_MS,
  type LoadDatagram,
  type StrategyContext,
  type LoadSharingStrategy,
} from './loadSharingStrategy.js';

/**
 * Heartbeats without new content: an aggregator must be heard within `AGGREGATOR_TIMEOUT_MS`, a
 * daemon within two seconds.
 */
const IDLE_AGGREGATE_TICKS = 2;
const IDLE_OWN_MS = 900;

/** Readers report more often, so that other daemons detect their loss sooner. */
const READER_TICK_MS = 2 * TICK_MS;
const IDLE_READER_MS = READER_TICK_MS - 50;

/**
 * How often a daemon that is not the aggregator checks for changes of its own and for lost
 * aggregates.
 */
const MEMBER_TICK_MS = 3 * TICK_MS;

/**
 * Aggregates for other data centres are sent less often, because traffic between data centres is
 * expensive.
 */
const REMOTE_TICKS = 2;

/**
 * A remote aggregator that has been silent for this long may be gone; aggregates then go to any
 * daemon of its data centre.
 */
const REMOTE_AGGREGATOR_TIMEOUT_MS = 1_500;

interface RemoteAggregator {
  readonly vm: string;
  /** Number of daemons included in its last aggregate. */
  readonly members: number;
  readonly heardAtMs: number;
}

type HandlersByScope = Readonly<Record<LoadScope, (datagram: LoadDatagram, nowMs: number) => void>>;

export class AggregationStrategy implements LoadSharingStrategy {
  readonly #context: StrategyContext;

  readonly #election: AggregatorElection;

  /** Keyed by data centre. */
  readonly #remoteAggregators = new Map<string, RemoteAggregator>();

  /** The loads that were last sent to the aggregator, which its aggregate therefore includes. */
  #sentLoads: ReadonlyMap<string, UpstreamLoad> = new Map();

  #sentStatistics: SharedStatistics = NO_STATISTICS;

  #lastSentContent = '';

  #sentAtMs = -Infinity;

  #lastAggregate = '';

  #isAggregator = false;

  /** The last other daemon of this data centre whose aggregate was accepted. */
  #lastAggregator: string | undefined;

  readonly #handlersByScope: HandlersByScope = {
    own: ({ message }, nowMs) => this.#receiveOwn(message, nowMs),
    dataCentre: (datagram, nowMs) => this.#receiveRemoteAggregate(datagram, nowMs),
    fleet: ({ message }, nowMs) => this.#receiveFleetAggregate(message, nowMs),
  };

  constructor(context: StrategyContext, nowMs: number) {
    const { directory } = context;
    this.#context = context;
    const listRanked = () => directory.rankLocal(AGGREGATOR_ORDER);
    this.#election = new AggregatorElection(directory.self.vm, listRanked, nowMs);
  }

  tick(ticks: number, nowMs: number): void {
    const wasAggregator = this.#isAggregator;
    this.#isAggregator = this.#election.isSelf(nowMs);
    if (this.#isAggregator && !wasAggregator) {
      this.#context.readerRegistry.extendReaderTimeouts(this.#lastAggregator, nowMs);
    }
    if (this.#isAggregator) {
      this.#sendFleetAggregate(ticks, nowMs);
      if (ticks % REMOTE_TICKS === 0) {
        this.#sendRemoteAggregate(nowMs);
      }
      return;
    }
    this.#sendIfChanged(nowMs);
  }

  get tickMs(): number {
    if (this.#isAggregator) {
      return TICK_MS;
    }
    const isReader = this.#context.readerRegistry.ownReports.length > 0;
    const timeoutInMs = Math.ceil(this.#election.getTimeoutInMs(performance.now())) + 1;
    // The next aggregator takes over at once instead of at the next tick after the time-out.
    return timeoutInMs <= 0
      ? TICK_MS
      : Math.min(timeoutInMs, isReader ? READER_TICK_MS : MEMBER_TICK_MS);
  }

  /** Does nothing on the aggregator itself: its loads are part of its next aggregate. */
  sendLoads(nowMs: number): void {
    const { messenger, readOwnLoads, readOwnStatistics, readerRegistry, directory } = this.#context;
    const aggregator = this.#election.findAggregator(nowMs);
    const peer = aggregator === undefined ? undefined : directory.find(aggregator);
    if (peer !== undefined) {
      this.#sentLoads = readOwnLoads();
      this.#sentAtMs = nowMs;
      this.#sentStatistics = readOwnStatistics();
      const content = {
        loads: this.#sentLoads,
        news: readerRegistry.ownReports,
        readers: [],
        members: 0,
        learned: this.#sentStatistics,
      };
      messenger.sendLoadMessage([peer], { ...content, scope: 'own' });
    }
  }

  sendReports(nowMs: number): void {
    this.sendLoads(nowMs);
  }

  /**
   * A random daemon of each data centre may have ended, so an aggregator also sends to the other
   * aggregators that it hears.
   */
  pickRemoteRelays(nowMs: number): readonly Peer[] {
    const picked = this.#context.directory.pickRemotePeers();
    const aggregators = picked.map((peer) => this.#resolveRemote(peer, nowMs));
    return [...new Set([...picked, ...aggregators])];
  }

  receive(datagram: LoadDatagram, nowMs: number): void {
    this.#handlersByScope[datagram.message.scope](datagram, nowMs);
  }

  handlePause(nowMs: number): void {
    this.#election.handlePause(nowMs);
  }

  /**
   * A daemon that is not the aggregator ignores the message. The sender followed another aggregator
   * and sends its next message to the one it has heard of since.
   */
  #receiveOwn(message: LoadMessage, nowMs: number): void {
    if (this.#isAggregator) {
      this.#context.loads.receive(message, nowMs);
      this.#context.readerRegistry.receiveReports(message, nowMs);
    }
  }

  #receiveFleetAggregate(message: LoadMessage, nowMs: number): void {
    const { directory, loads, readerRegistry } = this.#context;
    const isLocal = message.dataCentre === directory.self.dataCentre;
    if (isLocal && this.#election.handleAggregate(message, nowMs)) {
      this.#isAggregator = false;
      this.#lastAggregator = message.vm;
      const learned = {
        ...message.learned,
        rollouts: subtractRolloutCounts(message.learned.rollouts, this.#sentStatistics.rollouts),
      };
      const otherLoads = subtractLoads(message.loads, this.#sentLoads);
      loads.receive({ ...message, loads: otherLoads, learned }, nowMs);
      readerRegistry.receiveReaders(message.readers, nowMs);
      this.#sendIfChanged(nowMs);
    }
  }

  #sendIfChanged(nowMs: number): void {
    const { readOwnLoads, readerRegistry } = this.#context;
    const content = JSON.stringify([[...readOwnLoads()], readerRegistry.ownReports]);
    const idleMs = readerRegistry.ownReports.length > 0 ? IDLE_READER_MS : IDLE_OWN_MS;
    if (content !== this.#lastSentContent || nowMs - this.#sentAtMs >= idleMs) {
      this.#lastSentContent = content;
      this.sendLoads(nowMs);
    }
  }

  #receiveRemoteAggregate(datagram: LoadDatagram, nowMs: number): void {
    const { message } = datagram;
    const { loads, readerRegistry } = this.#context;
    if (!this.#isAggregator) {
      this.#forwardToAggregator(datagram, nowMs);
      return;
    }
    if (!this.#isPreferredRemote(message, nowMs)) {
      return;
    }
    const { vm, members, dataCentre } = message;
    this.#remoteAggregators.set(dataCentre, { vm, members, heardAtMs: nowMs });
    loads.receive(message, nowMs);
    readerRegistry.receiveReaders(message.readers, nowMs, message.dataCentre);
  }

  /**
   * Of two aggregators of a data centre, the one that counts more daemons wins. One that comes back
   * after a network partition includes only its own loads until it hears the other.
   */
  #isPreferredRemote({ vm, dataCentre, members }: LoadMessage, nowMs: number): boolean {
    const known = this.#findLiveAggregator(dataCentre, nowMs);
    return known === undefined || known.vm === vm || members >= known.members;
  }

  /** The aggregator of another data centre, unless it has timed out. */
  #findLiveAggregator(dataCentre: string, nowMs: number): RemoteAggregator | undefined {
    const known = this.#remoteAggregators.get(dataCentre);
    const isLive = known !== undefined && nowMs - known.heardAtMs < REMOTE_AGGREGATOR_TIMEOUT_MS;
    return isLive ? known : undefined;
  }

  /**
   * Forwards only datagrams from other data centres. Otherwise two daemons that each take the other
   * for the aggregator would forward a datagram to each other endlessly.
   */
  #forwardToAggregator({ bytes, host }: LoadDatagram, nowMs: number): void {
    const { directory, messenger } = this.#context;
    const peer = directory.find(this.#election.findAggregator(nowMs) ?? '');
    if (peer !== undefined && directory.isRemote(host)) {
      messenger.sendTo([peer], bytes);
    }
  }

  #sendFleetAggregate(ticks: number, nowMs: number): void {
    const { messenger, loads, readOwnLoads, readOwnStatistics, readerRegistry, directory } =
      this.#context;
    const sums = loads.sumFleet(readOwnLoads());
    const readers = readerRegistry.listReaders(nowMs);
    const members = loads.reportingDaemonCount;
    this.#election.noteOwnAggregate(members);
    const content = JSON.stringify([[...sums], readers, members]);
    if (content !== this.#lastAggregate || ticks % IDLE_AGGREGATE_TICKS === 0) {
      this.#lastAggregate = content;
      const learned = sumStatistics([readOwnStatistics(), loads.statistics]);
      const message = { loads: sums, news: [], readers, members, learned };
      messenger.sendLoadMessage(directory.local, { ...message, scope: 'fleet' });
    }
  }

  #sendRemoteAggregate(nowMs: number): void {
    const { messenger, loads, readOwnLoads, readOwnStatistics, readerRegistry, directory } =
      this.#context;
    const { dataCentre } = directory.self;
    const sums = loads.sumDataCentre(dataCentre, readOwnLoads());
    const readers = readerRegistry
      .listReaders(nowMs)
      .filter((one) => one.dataCentre === dataCentre);
    const peers = directory.pickRemotePeers().map((peer) => this.#resolveRemote(peer, nowMs));
    const members = loads.reportingDaemonCount;
    const learned = sumStatistics([readOwnStatistics(), loads.getDataCentreStatistics(dataCentre)]);
    const message = { loads: sums, news: [], readers, members, learned };
    messenger.sendLoadMessage(peers, { ...message, scope: 'dataCentre' });
  }

  /**
   * The aggregator of the peer's data centre, or the peer itself while the aggregator is unknown.
   */
  #resolveRemote(peer: Peer, nowMs: number): Peer {
    const known = this.#findLiveAggregator(peer.dataCentre, nowMs);
    return (known && this.#context.directory.find(known.vm)) ?? peer;
  }
}
