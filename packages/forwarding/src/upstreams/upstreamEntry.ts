/** One incarnation of an upstream as this daemon sees it: its load, outcomes and suspicion. */
import {
  ConnectionPool,
  DirectConnector,
  type ConnectionEnd,
  type ConnectionPath,
  type Connector,
} from '../exchange/index.js';
import type { PeerLoads, UpstreamLoad } from '../peers/index.js';
import type { Upstream } from '../types.js';
import { ColdState } from './coldState.js';
import { DataCentreMonitor } from './dataCentreMonitor.js';
import { EndProver } from './endProver.js';
import { ExitDetector, type InFlightRequest } from './exitDetector.js';
import type { RateLimitState } from './rateLimitState.js';
import { UpstreamStatements } from './upstreamStatements.js';

/** Weight of the newest outcome in the failure share; about the last ten outcomes dominate. */
const FAILURE_SMOOTHING = 0.12;

/**
 * Initial time for which an upstream is avoided after it refused a connection or was silent; it
 * doubles up to the maximum.
 */
const INITIAL_SUSPICION_MS = 800;
const MAX_SUSPICION_MS = 3_000;

export type UpstreamOutcome = 'answered' | 'failed' | 'refused' | 'unreachable';

/** An exit of an upstream's process, with the requests of this daemon that were lost. */
export interface UpstreamExit {
  readonly upstream: Upstream;
  readonly lifeId: string;
  /** True if the upstream list had announced that it leaves, or no longer named it. */
  readonly isExpected: boolean;
  readonly lost: readonly InFlightRequest[];
}

export interface ExitListener {
  onExit(end: UpstreamExit): void;
  /** Called when an incarnation reported as exited responds again. */
  onAlive(lifeId: string): void;
  /** Called for each connection that the upstream or the network ends. */
  onConnectionEnded?(end: ConnectionEnd): void;
}

/** Identifies one incarnation of an upstream; its id alone where ids are not used again. */
export const getLifeId = ({ id, bornAtMs }: Upstream): string =>
  bornAtMs === undefined ? id : `${id}@${bornAtMs}`;

export class UpstreamEntry {
  readonly pool: ConnectionPool;

  readonly exitDetector: ExitDetector;

  readonly endProver: EndProver;

  readonly cold = new ColdState();

  readonly statements: UpstreamStatements;

  #upstream: Upstream;

  #requests = 0;

  #work = 0;

  #failureShare = 0;

  #suspectUntilMs = 0;

  #suspicionMs = INITIAL_SUSPICION_MS;

  #lastBytesAtMs = 0;

  #isDoubtful = false;

  #isListed = true;

  readonly #connector: Connector;

  readonly #peerLoads: PeerLoads;

  readonly #dataCentreMonitor: DataCentreMonitor;

  constructor(
    upstream: Upstream,
    peerLoads: PeerLoads,
    watch: DataCentreMonitor = new DataCentreMonitor(),
    listener: ExitListener = { onExit: () => {}, onAlive: () => {} },
    statements: UpstreamStatements = new UpstreamStatements(),
    connector: Connector = new DirectConnector(upstream),
  ) {
    this.statements = statements;
    this.#upstream = upstream;
    this.#peerLoads = peerLoads;
    this.#dataCentreMonitor = watch;
    this.#connector = connector;
    this.pool = new ConnectionPool(connector, (end) => listener.onConnectionEnded?.(end));
    this.exitDetector = new ExitDetector({
      probe: () => connector.probe(),
      onExit: (lost) => {
        this.#suspectUntilMs = performance.now() + MAX_SUSPICION_MS;
        listener.onExit(this.#describeExit(lost));
      },
      onAlive: () => listener.onAlive(this.lifeId),
    });
    this.endProver = new EndProver({
      pool: this.pool,
      checkProcess: () => this.exitDetector.checkProcess(),
      isLeaving: () => this.#isExitExpected,
    });
    connector.watchPath({ onLost: (isSilent) => this.#onPathLost(isSilent) });
  }

  get upstream(): Upstream {
    return this.#upstream;
  }

  get id(): string {
    return this.#upstream.id;
  }

  /**
   * Identifies one incarnation of the upstream: load and outcomes of an earlier one do not apply to
   * it.
   */
  get lifeId(): string {
    return getLifeId(this.#upstream);
  }

  get rateLimit(): RateLimitState {
    return this.statements.rateLimit;
  }

  get failureShare(): number {
    return this.#failureShare;
  }

  /** Requests in flight from all daemons, as far as known. */
  get requests(): number {
    return this.#requests + this.#peerLoads.get(this.lifeId).requests;
  }

  /** Work ahead of a new request from all daemons, as far as known. */
  get backlog(): number {
    return this.#work + this.#peerLoads.get(this.lifeId).work;
  }

  /** Load from this daemon alone. */
  get ownLoad(): UpstreamLoad {
    return { work: this.#work, requests: this.#requests };
  }

  get lastBytesAtMs(): number {
    return this.#lastBytesAtMs;
  }

  /** Whether neither its row nor its answers say that it is leaving. */
  get isReady(): boolean {
    return this.#upstream.state === 'ready' && this.statements.leavingSinceMs === undefined;
  }

  /** True when the list no longer names it, but may be wrong. */
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

  /** Marks that the list no longer names it; requests may still run there. */
  markUnlisted(): void {
    this.#isListed = false;
  }

  /** Applies the current entry of the list. */
  update(upstream: Upstream): void {
    this.#isDoubtful = false;
    this.#upstream = upstream;
  }

  startRequest(work: number): void {
    const nowMs = performance.now();
    this.cold.recordSent(nowMs);
    this.rateLimit.recordSent(nowMs);
    this.statements.backOff.recordSent(nowMs);
    this.#requests += 1;
    this.#work += work;
  }

  /** Subtracts the part of a request's work that is done. */
  reduceWork(work: number): void {
    this.#work -= work;
  }

  /** Removes a request and its work that is still counted. */
  finishRequest(work: number): void {
    this.#requests -= 1;
    this.#work = this.#requests === 0 ? 0 : this.#work - work;
  }

  /** Whether direct connections to it cannot be opened though other daemons reach it. */
  get isPathLost(): boolean {
    return this.#connector.isBlocked;
  }

  /** Called when a request has got no answer for a while. */
  checkPath(): void {
    this.#connector.checkPath();
  }

  /** `path`: of the connection on which something was received. */
  recordActivity(nowMs: number, path: ConnectionPath = 'direct'): void {
    if (path === 'direct') {
      this.#connector.recordActivity();
    }
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

  /** Open connections that are silent would hold their requests until a time-out. */
  #onPathLost(isSilent: boolean): void {
    this.pool.closeIdle();
    if (isSilent) {
      [...this.exitDetector.inFlight].forEach((one) => one.onPathLost());
    }
  }

  #describeExit(lost: readonly InFlightRequest[]): UpstreamExit {
    const isExpected = this.#isExitExpected;
    return { upstream: this.#upstream, lifeId: this.lifeId, isExpected, lost };
  }

  get #isExitExpected(): boolean {
    return !this.#isListed || this.#isDoubtful || !this.isReady;
  }
}
