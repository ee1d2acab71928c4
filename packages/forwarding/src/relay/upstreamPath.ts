/** The ways from this daemon to one upstream: direct, and through other daemons. */
import type {
  Connector,
  DirectConnector,
  OpenCallback,
  PathListener,
  ProbeOutcome,
} from '../exchange/index.js';
import { ConnectionRace } from './connectionRace.js';
import { RELAY_DELAY_MS } from './constants.js';
import type { RelayClient } from './relayClient.js';
import type { RelayTarget } from './types.js';

/** What one upstream's path asks of all paths together. */
export interface PathSupervisor {
  /** Called when the direct path turns out to be lost. */
  onDetour(path: UpstreamPath): void;
  /** Called when a request to the upstream has got no answer for a while. */
  onSilence(path: UpstreamPath): void;
  /** Whether this daemon reaches other upstreams directly; undefined if there is none to try. */
  reachesOthers(path: UpstreamPath): Promise<boolean | undefined>;
  onClosed(path: UpstreamPath): void;
}

export interface UpstreamPathOptions {
  readonly target: RelayTarget;
  readonly direct: DirectConnector;
  readonly relays: RelayClient;
  readonly supervisor: PathSupervisor;
}

export class UpstreamPath implements Connector {
  readonly #options: UpstreamPathOptions;

  #listener: PathListener | undefined;

  #isBlocked = false;

  #isRefusing = false;

  #lastHeardAtMs = -Infinity;

  constructor(options: UpstreamPathOptions) {
    this.#options = options;
  }

  get target(): RelayTarget {
    return this.#options.target;
  }

  /** Whether the direct path is lost: connections are then relayed unless a direct one opens first. */
  get isBlocked(): boolean {
    return this.#isBlocked;
  }

  /** Whether the upstream refused the last probe, so that it is no evidence of a lost path. */
  get isRefusing(): boolean {
    return this.#isRefusing;
  }

  /** When the upstream last accepted a direct connection or sent something on one. */
  get lastHeardAtMs(): number {
    return this.#lastHeardAtMs;
  }

  open(callback: OpenCallback): () => void {
    const { direct, relays, target, supervisor } = this.#options;
    const startedAtMs = performance.now();
    const race = new ConnectionRace(
      {
        direct,
        relays,
        target,
        relayDelayMs: this.#isBlocked ? 0 : RELAY_DELAY_MS,
        onDirect: () => this.#recordReached(),
        onDetour: () => {
          // On a lossy network a single connection fails while others work.
          if (this.#lastHeardAtMs < startedAtMs) {
            supervisor.onDetour(this);
          }
        },
      },
      callback,
    );
    race.start();
    return () => race.giveUp();
  }

  /**
   * A refusal means that the upstream's process has ended only if it does not come from the network
   * on the way: from a daemon that reaches other upstreams at this time.
   */
  async probe(): Promise<ProbeOutcome> {
    const { relays, supervisor, target } = this.#options;
    if (this.#isBlocked && relays.hasPeers) {
      return relays.probe(target);
    }
    const outcome = await this.probeDirect();
    if (outcome !== 'refused') {
      return outcome;
    }
    const reachesOthers = await supervisor.reachesOthers(this);
    if (reachesOthers === true) {
      return outcome;
    }
    if (relays.hasPeers) {
      return relays.probe(target);
    }
    return reachesOthers === undefined ? outcome : 'silent';
  }

  async probeDirect(): Promise<ProbeOutcome> {
    const outcome = await this.#options.direct.probe();
    this.#isRefusing = outcome === 'refused';
    if (outcome === 'listening') {
      this.#recordReached();
    }
    return outcome;
  }

  /** Whether another daemon reaches the upstream. */
  async isReachedByOthers(): Promise<boolean> {
    return (await this.#options.relays.probe(this.target)) === 'listening';
  }

  /** Relays connections from now on, and checks whether open ones are lost too. */
  async block(): Promise<void> {
    this.#isBlocked = true;
    const outcome = await this.probeDirect();
    if (outcome !== 'listening') {
      this.#listener?.onLost(outcome === 'silent');
    }
  }

  watchPath(listener: PathListener): void {
    this.#listener = listener;
  }

  recordActivity(): void {
    this.#lastHeardAtMs = performance.now();
  }

  checkPath(): void {
    if (!this.#isBlocked) {
      this.#options.supervisor.onSilence(this);
    }
  }

  close(): void {
    this.#options.supervisor.onClosed(this);
  }

  #recordReached(): void {
    this.#lastHeardAtMs = performance.now();
    this.#isBlocked = false;
    this.#isRefusing = false;
  }
}
