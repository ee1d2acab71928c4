/**
 * Opens a connection to an upstream directly and, if that takes long or fails, through another
 * daemon beside it; the first one that is open is used.
 */
import type { Connector, OpenCallback, OpenedConnection } from '../exchange/index.js';
import type { RelayClient } from './relayClient.js';
import type { RelayResult, RelayTarget } from './types.js';

export interface ConnectionRaceOptions {
  readonly direct: Pick<Connector, 'open'>;
  readonly relays: Pick<RelayClient, 'open'>;
  readonly target: RelayTarget;
  /** Head start of the direct connection. */
  readonly relayDelayMs: number;
  readonly onDirect: () => void;
  /** Called when the direct connection failed though another daemon reached the upstream. */
  readonly onDetour: (error: Error) => void;
}

export class ConnectionRace {
  readonly #options: ConnectionRaceOptions;

  readonly #callback: OpenCallback;

  #isSettled = false;

  #directError: Error | undefined;

  #relay: 'notAsked' | 'asked' | 'connected' | 'failed' = 'notAsked';

  #relayTimer: NodeJS.Timeout | undefined;

  #giveUpRelay: (() => void) | undefined;

  constructor(options: ConnectionRaceOptions, callback: OpenCallback) {
    this.#options = options;
    this.#callback = callback;
  }

  start(): void {
    const { direct, relayDelayMs } = this.#options;
    this.#relayTimer = setTimeout(() => this.#askRelay(), relayDelayMs);
    direct.open((error, opened) => {
      clearTimeout(this.#relayTimer);
      if (opened === null) {
        this.#onDirectFailure(error ?? new Error('no connection'));
      } else {
        this.#options.onDirect();
        this.#settle(opened);
      }
    });
  }

  /** The direct connection is awaited all the same, as its failure tells that the path is lost. */
  giveUp(): void {
    this.#isSettled = true;
    clearTimeout(this.#relayTimer);
    if (this.#relay === 'asked') {
      this.#giveUpRelay?.();
    }
  }

  #askRelay(): void {
    if (this.#isSettled || this.#relay !== 'notAsked') {
      return;
    }
    this.#relay = 'asked';
    this.#giveUpRelay = this.#options.relays.open(this.#options.target, (result) =>
      this.#onRelayResult(result),
    );
  }

  #onRelayResult({ stream }: RelayResult): void {
    if (stream === undefined) {
      this.#relay = 'failed';
      this.#failIfOver();
      return;
    }
    this.#relay = 'connected';
    this.#settle({ stream, path: 'relayed' });
    if (this.#directError !== undefined) {
      this.#options.onDetour(this.#directError);
    }
  }

  #onDirectFailure(error: Error): void {
    this.#directError = error;
    if (this.#relay === 'connected') {
      this.#options.onDetour(error);
      return;
    }
    this.#askRelay();
    this.#failIfOver();
  }

  #failIfOver(): void {
    if (this.#directError !== undefined && this.#relay === 'failed' && !this.#isSettled) {
      this.#isSettled = true;
      this.#callback(this.#directError, null);
    }
  }

  #settle(opened: OpenedConnection): void {
    if (this.#isSettled) {
      opened.stream.destroy();
      return;
    }
    this.giveUp();
    this.#callback(null, opened);
  }
}
