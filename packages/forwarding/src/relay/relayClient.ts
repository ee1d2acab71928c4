/**
 * Opens connections to upstreams through other daemons. Several are asked, each soon after the one
 * before it: a daemon that does not know yet that it has lost its paths answers late.
 */
import type { ProbeOutcome } from '../exchange/index.js';
import type { Peer, PeerDirectory } from '../peers/index.js';
import type { AskRelay } from './askRelay.js';
import { MAX_RELAYS_ASKED, NEXT_RELAY_MS } from './constants.js';
import type { RelayRanking } from './relayRanking.js';
import type { RelayOutcome, RelayResult, RelayTarget } from './types.js';

export interface RelayClientOptions {
  readonly directory: PeerDirectory;
  readonly ranking: RelayRanking;
  readonly ask: AskRelay;
  /** Called with the outcome of each connection that was wanted. */
  readonly onOutcome: (outcome: RelayOutcome) => void;
}

type OnResult = (result: RelayResult) => void;

/** One connection that is wanted, and the daemons asked for it. */
class RelayRequest {
  readonly #options: RelayClientOptions;

  readonly #target: RelayTarget;

  readonly #peers: Peer[];

  readonly #onResult: OnResult;

  /** Ends the questions that are not answered yet. */
  readonly #questions = new Set<() => void>();

  #timer: NodeJS.Timeout | undefined;

  #isOver = false;

  constructor(options: RelayClientOptions, target: RelayTarget, onResult: OnResult) {
    this.#options = options;
    this.#target = target;
    this.#onResult = onResult;
    const ranked = options.ranking.list(target.dataCentre, performance.now());
    this.#peers = ranked.slice(0, MAX_RELAYS_ASKED);
  }

  askNext(): void {
    clearTimeout(this.#timer);
    const peer = this.#peers.shift();
    if (peer !== undefined) {
      this.#ask(peer);
    } else if (this.#questions.size === 0) {
      this.#finish({ outcome: 'unavailable' });
    }
  }

  giveUp(): void {
    this.#isOver = true;
    clearTimeout(this.#timer);
    this.#questions.forEach((end) => end());
    this.#questions.clear();
  }

  #ask(peer: Peer): void {
    const { ask, directory } = this.#options;
    const { lifeId } = this.#target;
    const question = { peer, localAddress: directory.self.host, lifeId };
    const end = ask(question, (result) => {
      this.#questions.delete(end);
      this.#onAnswer(peer, result);
    });
    this.#questions.add(end);
    this.#timer = setTimeout(() => this.askNext(), NEXT_RELAY_MS);
  }

  #onAnswer(peer: Peer, result: RelayResult): void {
    const { ranking } = this.#options;
    if (result.outcome === 'unavailable') {
      ranking.recordUnavailable(peer, performance.now());
      this.askNext();
      return;
    }
    ranking.recordAvailable(peer);
    this.#finish(result);
  }

  #finish(result: RelayResult): void {
    if (this.#isOver) {
      result.stream?.destroy();
      return;
    }
    this.giveUp();
    this.#options.onOutcome(result.outcome);
    this.#onResult(result);
  }
}

const probeOutcomes: Readonly<Record<RelayOutcome, ProbeOutcome>> = {
  connected: 'listening',
  refused: 'refused',
  silent: 'silent',
  unavailable: 'silent',
};

export class RelayClient {
  readonly #options: RelayClientOptions;

  constructor(options: RelayClientOptions) {
    this.#options = options;
  }

  /** Whether any other daemon is known. */
  get hasPeers(): boolean {
    return this.#options.directory.all.length > 0;
  }

  /** Calls back once, unless given up by the returned function. */
  open(target: RelayTarget, onResult: OnResult): () => void {
    const request = new RelayRequest(this.#options, target, onResult);
    request.askNext();
    return () => request.giveUp();
  }

  /** Whether another daemon reaches the upstream. */
  probe(target: RelayTarget): Promise<ProbeOutcome> {
    return new Promise((resolve) => {
      this.open(target, ({ outcome, stream }) => {
        stream?.destroy();
        resolve(probeOutcomes[outcome]);
      });
    });
  }
}
