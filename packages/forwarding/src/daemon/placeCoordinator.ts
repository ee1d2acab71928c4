/** Connects the lending of places at brittle upstreams with the list of upstreams and other daemons. */
import type { Logger } from '@snipehaven/common';
import { countPlaceOwners } from '@snipehaven/policy';
import type { ForwardMetrics } from '../edge/index.js';
import type { PeerDirectory, PeerExchange } from '../peers/index.js';
import { PlaceBorrower, PlaceLender, type PlaceMessage } from '../places/index.js';
import { BrittleTracker, type UpstreamDirectory, type UpstreamEntry } from '../upstreams/index.js';

export interface PlaceCoordinatorOptions {
  readonly logger: Logger;
  readonly metrics: Pick<ForwardMetrics, 'addGauge'>;
  readonly directory: UpstreamDirectory;
  readonly peers: PeerDirectory;
  /** Distinguishes this process from earlier ones of the same VM. */
  readonly processId: number;
  /** The exchange is created after this object and available before the first request. */
  getExchange(): Pick<PeerExchange, 'broadcastBrittle' | 'hasDiscoveredPeers' | 'sendPlaceMessage'>;
}

type Handlers = {
  readonly [Kind in PlaceMessage['kind']]: (message: Extract<PlaceMessage, { kind: Kind }>) => void;
};

export class PlaceCoordinator {
  readonly brittle: BrittleTracker;

  readonly borrower: PlaceBorrower;

  readonly #options: PlaceCoordinatorOptions;

  readonly #lender: PlaceLender;

  readonly #handlers: Handlers = {
    ask: ({ from, request }) =>
      this.#lender.lend(from, request, (reply) => this.#send(from.vm, { kind: 'reply', reply })),
    reply: ({ reply }) => this.borrower.receiveReply(reply),
    return: ({ from, returned }) => this.#lender.takeBack(from, returned),
    held: ({ from, holdings }) => this.#lender.reconcile(from, holdings),
  };

  constructor(options: PlaceCoordinatorOptions) {
    this.#options = options;
    const { logger, directory, metrics, peers, processId, getExchange } = options;
    this.brittle = new BrittleTracker({
      logger,
      directory,
      broadcast: (news) => getExchange().broadcastBrittle(news),
      onBrittle: () => this.borrower.tellHoldings(),
    });
    this.#lender = new PlaceLender({
      findSlots: (lifeId) => directory.findIncarnation(lifeId)?.upstream.slots,
      findRejectionsPerS: (lifeId) => {
        const entry = directory.findIncarnation(lifeId);
        return entry === undefined ? undefined : this.brittle.getRejectionsPerS(entry);
      },
      findOwnerRank: (lifeId, owners) => this.#findOwnerRank(lifeId, owners),
      isAcquainted: () => getExchange().hasDiscoveredPeers,
    });
    this.borrower = new PlaceBorrower({
      self: { vm: peers.self.vm, process: processId },
      listOwners: (entry) => this.#listOwners(entry),
      getRejectionsPerS: (entry) => this.brittle.getRejectionsPerS(entry),
      listBrittle: () => this.brittle.listBrittle(),
      send: (vm, message) => this.#send(vm, message),
    });
    metrics.addGauge(
      'snipehaven_places_lent',
      'Requests in flight at brittle upstreams for which this daemon lends places.',
      () =>
        this.brittle
          .listBrittle()
          .reduce((sum, { lifeId }) => sum + this.#lender.countInFlight(lifeId), 0),
    );
  }

  receive(message: PlaceMessage): void {
    const handle = this.#handlers[message.kind] as (one: PlaceMessage) => void;
    handle(message);
  }

  stop(): void {
    this.borrower.stop();
  }

  #send(vm: string, message: PlaceMessage): void {
    const { peers, getExchange } = this.#options;
    if (vm === peers.self.vm) {
      this.receive(message);
    } else {
      getExchange().sendPlaceMessage(vm, message);
    }
  }

  #listOwners(entry: UpstreamEntry): readonly string[] {
    const { slots, dataCentre } = entry.upstream;
    const rejectionsPerS = this.brittle.getRejectionsPerS(entry) ?? 0;
    const owners = countPlaceOwners(slots, rejectionsPerS);
    return this.#options.peers.listFirst(entry.lifeId, dataCentre, owners);
  }

  #findOwnerRank(lifeId: string, owners: number): number | undefined {
    const { directory, peers } = this.#options;
    const entry = directory.findIncarnation(lifeId);
    const { dataCentre = '' } = entry?.upstream ?? {};
    const rank = peers.listFirst(lifeId, dataCentre, owners).indexOf(peers.self.vm);
    return rank < 0 ? undefined : rank;
  }
}
