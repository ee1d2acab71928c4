/**
 * Hands whole tables from daemon to daemon. Relayed changes do not reach behind a history that the
 * store dropped, nor behind a lost datagram, and a daemon that cannot reach the store has no other
 * way to the rows.
 */
import type { Logger, Random } from '@snipehaven/common';
import { pickRandom } from '@snipehaven/common';
import type { StoreEra } from '../store/storeEra.js';
import { isNewer, type StoreRevision } from '../store/storeRevision.js';
import type { SnapshotRequest, SnapshotSource, TableSnapshot } from '../store/types.js';
import type { ReceivedDatagram } from './datagramDispatch.js';
import { encodeJoinMessage } from './joinMessages.js';
import type { Peer, PeerDirectory } from './peerDirectory.js';
import type { PeerMessenger } from './peerMessenger.js';
import { MAX_MESH_DAEMONS, type ReaderRegistry } from './readerRegistry.js';
import {
  PartAssembler,
  encodeTable,
  encodeTableRequest,
  type TableMessage,
  type TableRequest,
} from './tableMessages.js';

export interface TableExchangeOptions {
  readonly directory: PeerDirectory;
  readonly readerRegistry: ReaderRegistry;
  readonly storeEra: StoreEra;
  readonly messenger: PeerMessenger;
  readonly random: Random;
  readonly logger: Logger;
  /** The tables that this daemon currently knows. */
  listSnapshots(): readonly TableSnapshot[];
  waitForSnapshot(table: string): Promise<TableSnapshot | undefined>;
  /** Sends this daemon's reader reports at once. */
  sendReports(): void;
}

/**
 * Larger tables are sent only on request: they would go to all daemons of a data centre at once,
 * over links of 10 Mbit/s.
 */
const MAX_BROADCAST_BYTES = 16_000;

/** Usually the store or a relay is faster, and no request is sent. */
const FIRST_REQUEST_DELAY_MS = 40;

/**
 * Requests of daemons that lack the same change are spread over this time for each known daemon:
 * the first answer is relayed to the data centre, and the others need not ask.
 */
const SPREAD_PER_DAEMON_MS = 2;
const MAX_SPREAD_MS = 400;

/** Before the second request; doubled for each further one up to the maximum. */
const RETRY_DELAY_MS = 150;
const MAX_RETRY_DELAY_MS = 400;
const MAX_REQUESTS = 8;

/** Several daemons may ask at once; the answer is encoded once per this period. */
const ANSWER_CACHE_MS = 150;

/** Limits what one daemon sends as answers; who gets none asks another daemon. */
const ANSWER_PERIOD_MS = 100;
const MAX_ANSWER_BYTES_PER_PERIOD = 100_000;

interface Answer {
  readonly revision: StoreRevision;
  readonly madeAtMs: number;
  readonly datagrams: readonly Buffer[];
}

/** Whether the sender knows what the store lost, and `known` is older or retains fewer rows. */
const isBetterRetaining = (snapshot: TableSnapshot, known: TableSnapshot | undefined): boolean =>
  snapshot.retained !== undefined &&
  (known === undefined ||
    isNewer(snapshot, known) ||
    (snapshot.era === known.era && snapshot.retained.length > (known.retained?.length ?? 0)));

export class TableExchange implements SnapshotSource {
  readonly #options: TableExchangeOptions;

  /** The newest tables that other daemons sent. */
  readonly #received = new Map<string, TableSnapshot>();

  /** Tables whose senders know what the store lost; a later one may come from a daemon that does not. */
  readonly #retaining = new Map<string, TableSnapshot>();

  /** Timers of the pending requests, keyed by table. */
  readonly #timers = new Map<string, NodeJS.Timeout>();

  readonly #answers = new Map<string, Answer>();

  readonly #assembler = new PartAssembler();

  #answerPeriodEndsAtMs = 0;

  #answerBytes = 0;

  #isStopped = false;

  constructor(options: TableExchangeOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#isStopped = true;
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.#timers.clear();
  }

  waitForSnapshot(table: string): Promise<TableSnapshot | undefined> {
    return this.#options.waitForSnapshot(table);
  }

  findReceived(table: string): TableSnapshot | undefined {
    return this.#received.get(table);
  }

  findRetaining(table: string): TableSnapshot | undefined {
    return this.#retaining.get(table);
  }

  publishSnapshot(snapshot: TableSnapshot): void {
    const { directory, readerRegistry, sendReports } = this.#options;
    if (this.#isStopped) {
      return;
    }
    const { all, local } = directory;
    const peers = this.#isSmallFleet ? all : [...local, ...directory.pickRemotePeers()];
    this.#broadcast(peers, encodeJoinMessage({ kind: 'table', table: snapshot }));
    if (readerRegistry.ownReports.length > 0) {
      sendReports();
    }
  }

  requestSnapshot(request: SnapshotRequest): void {
    if (this.#isStopped || this.#timers.has(request.table)) {
      return;
    }
    const { random, directory } = this.#options;
    const spreadMs = Math.min(MAX_SPREAD_MS, SPREAD_PER_DAEMON_MS * directory.daemonCount);
    this.#schedule(request, 0, FIRST_REQUEST_DELAY_MS + random.next() * spreadMs);
  }

  /** Takes a table sent by another daemon and relays it if it is news in this data centre. */
  receiveTable(snapshot: TableSnapshot, { bytes, host }: ReceivedDatagram): void {
    const { directory, readerRegistry, storeEra } = this.#options;
    const { table, era, eraAgeMs, lastChange } = snapshot;
    const received = this.#received.get(table);
    const isNewest = received === undefined || isNewer(snapshot, received);
    const isRetaining = isBetterRetaining(snapshot, this.#retaining.get(table));
    if (!isNewest && !isRetaining) {
      return;
    }
    const own = this.#findOwn(table);
    const isNews = isNewest && own !== undefined && isNewer({ era, version: lastChange }, own);
    if (isNewest) {
      this.#received.set(table, snapshot);
    }
    if (isRetaining) {
      this.#retaining.set(table, snapshot);
    }
    storeEra.observe(era, host, eraAgeMs);
    readerRegistry.notifyUpdate(table);
    if (isNews && !this.#isSmallFleet && directory.isRemote(host)) {
      this.#broadcast(directory.local, bytes);
    }
  }

  receive(message: TableMessage, datagram: ReceivedDatagram): void {
    if (message.kind === 'tableRequest') {
      this.#answer(message.tableRequest);
      return;
    }
    const snapshot = this.#assembler.add(datagram.host, message.tablePart);
    if (snapshot !== undefined) {
      this.receiveTable(snapshot, { ...datagram, bytes: Buffer.alloc(0) });
    }
  }

  get #isSmallFleet(): boolean {
    return this.#options.directory.daemonCount <= MAX_MESH_DAEMONS;
  }

  #findOwn(table: string): TableSnapshot | undefined {
    return this.#options.listSnapshots().find((one) => one.table === table);
  }

  #broadcast(peers: readonly Peer[], bytes: Buffer | undefined): void {
    if (bytes !== undefined && bytes.length > 0 && bytes.length <= MAX_BROADCAST_BYTES) {
      this.#options.messenger.sendTo(peers, bytes);
    }
  }

  #schedule(request: SnapshotRequest, sent: number, delayMs: number): void {
    this.#timers.set(
      request.table,
      setTimeout(() => this.#send(request, sent), delayMs),
    );
  }

  /** `sent`: the number of requests sent before. */
  #send(request: SnapshotRequest, sent: number): void {
    const { table, atLeast } = request;
    if (sent === MAX_REQUESTS || !request.isNeeded()) {
      this.#timers.delete(table);
      return;
    }
    this.#schedule(request, sent + 1, Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * 2 ** sent));
    const { directory, messenger, logger } = this.#options;
    const peer = this.#pickHolder(request, sent);
    if (peer !== undefined) {
      logger.info(
        { event: 'tableRequested', table, atLeast, from: peer.vm, request: sent + 1 },
        'changes or retained rows may be missing; asking another daemon for the table',
      );
      messenger.sendTo([peer], encodeTableRequest({ peer: directory.self, table, atLeast }));
    }
  }

  /**
   * A reader first; then any daemon, as most have a table soon that was too large to be sent to all;
   * then one of the data centre, which may be cut off from the others.
   */
  #pickHolder({ table, atLeast }: SnapshotRequest, sent: number): Peer | undefined {
    const { directory, readerRegistry, random } = this.#options;
    const readers = readerRegistry
      .listReaders(performance.now())
      .filter(
        ({ table: read, era, lastChange }) =>
          read === table && !isNewer(atLeast, { era, version: lastChange }),
      )
      .flatMap(({ vm }) => directory.find(vm) ?? []);
    const groups = [readers, directory.all, directory.local];
    const group = groups[sent % groups.length] ?? [];
    return pickRandom(group.length > 0 ? group : directory.all, random);
  }

  #answer({ peer, table, atLeast }: TableRequest): void {
    const nowMs = performance.now();
    const answer = this.#getAnswer(table, atLeast, nowMs);
    if (nowMs >= this.#answerPeriodEndsAtMs) {
      this.#answerPeriodEndsAtMs = nowMs + ANSWER_PERIOD_MS;
      this.#answerBytes = 0;
    }
    if (this.#answerBytes < MAX_ANSWER_BYTES_PER_PERIOD) {
      answer.forEach((bytes) => {
        this.#answerBytes += bytes.length;
        this.#options.messenger.sendTo([peer], bytes);
      });
    }
  }

  /** Empty if this daemon does not know the table up to that revision. */
  #getAnswer(table: string, atLeast: StoreRevision, nowMs: number): readonly Buffer[] {
    const known = this.#answers.get(table);
    const isRecent = known !== undefined && nowMs - known.madeAtMs < ANSWER_CACHE_MS;
    if (isRecent && !isNewer(atLeast, known.revision)) {
      return known.datagrams;
    }
    const own = this.#findOwn(table);
    if (own === undefined || isNewer(atLeast, own)) {
      return [];
    }
    const datagrams = encodeTable(own);
    this.#answers.set(table, {
      revision: { era: own.era, version: own.version },
      madeAtMs: nowMs,
      datagrams,
    });
    return datagrams;
  }
}
