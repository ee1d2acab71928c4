/** One life of an upstream as this daemon sees it: what it sent there, and how that went. */
import { ConnectionPool } from '../exchange/index.js';
import type { PeerLoads, UpstreamLoad } from '../peers/index.js';
import type { Upstream } from '../types.js';
import { ColdState } from './coldState.js';
import { DataCentreMonitor } from './dataCentreMonitor.js';
import { ExitDetector, type SentRequest } from './exitDetector.js';

/** Weight of the newest outcome in the share of failures; ten outcomes say most. */
const FAILURE_SMOOTHING = 0.12;

/** An upstream that refused a connection or was silent is left alone this long at first. */
const INITIAL_SUSPICION_MS = 800;
const MAX_SUSPICION_MS = 3_000;

export type UpstreamOutcome = 'answered' | 'failed' | 'refused' | 'unreachable';

/** An upstream's process ended, with what this daemon had there. */
export interface UpstreamEnd {
  readonly upstream: Upstream;
  readonly lifeId: string;
  /** The list had told that it leaves, or did not name it any more. */
  readonly isExpected: boolean;
  readonly lost: readonly SentRequest[];
}

export interface ExitListener {
  onEnd(end: UpstreamEnd): void;
  /** A life that was taken for ended serves. */
  onAlive(lifeId: string): void;
}

export class UpstreamEntry {
  readonly pool: ConnectionPool;

  readonly exitDetector: ExitDetector;

  readonly cold = new ColdState();

  #upstream: Upstream;

  #requests = 0;

  #work = 0;

  #failureShare = 0;

  #suspectUntilMs = 0;

  #suspicionMs = INITIAL_SUSPICION_MS;

  #lastBytesAtMs = 0;

  #isDoubtful = false;

  #isListed = true;

  readonly #peerLoads: PeerLoads;

  readonly #dataCentreMonitor: DataCentreMonitor;

  constructor(
    upstream: Upstream,
    peerLoads: PeerLoads,
    watch: DataCentreMonitor = new DataCentreMonitor(),
    listener: ExitListener = { onEnd: () => {}, onAlive: () => {} },
  ) {
    this.#upstream = upstream;
    this.#peerLoads = peerLoads;
    this.#dataCentreMonitor = watch;
    this.pool = new ConnectionPool(upstream.host, upstream.port);
    this.exitDetector = new ExitDetector({
      probe: () => this.pool.probe(),
      onEnd: (lost) => {
        this.#suspectUntilMs = performance.now() + MAX_SUSPICION_MS;
        listener.onEnd(this.#describeExit(lost));
      },
      onAlive: () => listener.onAlive(this.lifeId),
    });
  }

  get upstream(): Upstream {
    return this.#upstream;
  }

  get id(): string {
    return this.#upstream.id;
  }

  /** Names one life of the upstream: what was counted or sent in an earlier one is not this one's. */
  get lifeId(): string {
    const { id, bornAtMs } = this.#upstream;
    return bornAtMs === undefined ? id : `${id}@${bornAtMs}`;
  }

  get failureShare(): number {
    return this.#failureShare;
  }

  /** Requests in flight, of all daemons as far as known. */
  get requests(): number {
    return this.#requests + this.#peerLoads.get(this.lifeId).requests;
  }

  /** Work ahead of a new request, of all daemons as far as known. */
  get backlog(): number {
    return this.#work + this.#peerLoads.get(this.lifeId).work;
  }

  /** What this daemon has there. */
  get ownLoad(): UpstreamLoad {
    return { work: this.#work, requests: this.#requests };
  }

  get lastBytesAtMs(): number {
    return this.#lastBytesAtMs;
  }

  /** The list no longer names it, but may be wrong. */
  get isDoubtful(): boolean {
    return this.#isDoubtful;
  }

  isSuspect(nowMs: number): boolean {
    return (
      this.#isDoubtful ||
      nowMs < this.#suspectUntilMs ||
      this.#dataCentreMonitor.isSuspect(this.#upstream.dataCentre, nowMs)
    );
  }

  markDoubtful(): void {
    this.#isDoubtful = true;
  }

  /** The list does not name it any more; requests may still run there. */
  markUnlisted(): void {
    this.#isListed = false;
  }

  /** Takes what the list says of it now. */
  update(upstream: Upstream): void {
    this.#isDoubtful = false;
    this.#upstream = upstream;
  }

  startRequest(work: number): void {
    this.cold.recordSent(performance.now());
    this.#requests += 1;
    this.#work += work;
  }

  /** Part of a request's work is done. */
  reduceWork(work: number): void {
    this.#work -= work;
  }

  /** A request ended, with this much of its work still counted. */
  finishRequest(work: number): void {
    this.#requests -= 1;
    this.#work = this.#requests === 0 ? 0 : this.#work - work;
  }

  recordActivity(nowMs: number): void {
    this.#lastBytesAtMs = nowMs;
    this.#dataCentreMonitor.recordActivity(this.#upstream.dataCentre);
    this.#suspectUntilMs = 0;
    this.#suspicionMs = INITIAL_SUSPICION_MS;
  }

  recordOutcome(outcome: UpstreamOutcome, nowMs: number): void {
    const failed = outcome === 'failed' || outcome === 'unreachable' ? 1 : 0;
    this.#failureShare += (failed - this.#failureShare) * FAILURE_SMOOTHING;
    if (outcome === 'unreachable') {
      this.#suspectUntilMs = nowMs + this.#suspicionMs;
      this.#suspicionMs = Math.min(MAX_SUSPICION_MS, this.#suspicionMs * 2);
      this.#dataCentreMonitor.recordUnreachable(this.#upstream.dataCentre, this.lifeId, nowMs);
      this.pool.closeIdle();
    }
    if (outcome === 'refused') {
      this.#suspectUntilMs = Math.max(this.#suspectUntilMs, nowMs + INITIAL_SUSPICION_MS / 8);
    }
  }

  #describeExit(lost: readonly SentRequest[]): UpstreamEnd {
    const isExpected = !this.#isListed || this.#isDoubtful || this.#upstream.state !== 'ready';
    return { upstream: this.#upstream, lifeId: this.lifeId, isExpected, lost };
  }
}
