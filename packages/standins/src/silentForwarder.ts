/**
 * A TCP forwarder to stand between two processes: connections through it can go silent for good
 * while new ones work, or the whole path can be cut.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

export interface ForwarderOptions {
  readonly targetAddress: string;
  readonly targetPort: number;
  /** 127.x.y.z; 127.0.0.1 without. */
  readonly address?: string | undefined;
  /** 0 or none: any free port. */
  readonly port?: number | undefined;
}

/** A cut path swallows everything without a word, only what comes back, or breaks connections. */
export type CutKind = 'silent' | 'oneWay' | 'broken';

const DEFAULT_ADDRESS = '127.0.0.1';

/** A connection of a client and the one to the target that carries it on. */
class ForwardedPair {
  readonly #client: Socket;

  readonly #target: Socket;

  /** Sides whose bytes are dropped. */
  readonly #dropped = new Set<Socket>();

  readonly #delayMs: number;

  constructor(client: Socket, target: Socket, delayMs: number) {
    this.#client = client;
    this.#target = target;
    this.#delayMs = delayMs;
    this.#join(client, target);
    this.#join(target, client);
  }

  /** Nothing passes any more, not even a close; what arrives is dropped. */
  silence(): void {
    this.#drop(this.#client);
    this.#drop(this.#target);
  }

  /** Nothing that the target sends passes any more. */
  silenceAnswers(): void {
    this.#drop(this.#target);
  }

  reset(): void {
    this.#client.resetAndDestroy();
    this.#target.resetAndDestroy();
  }

  destroy(): void {
    this.#client.destroy();
    this.#target.destroy();
  }

  #join(from: Socket, to: Socket): void {
    from.setNoDelay(true);
    from.on('data', (chunk) => {
      this.#pass(from, () => {
        if (!to.write(chunk)) {
          from.pause();
        }
      });
    });
    to.on('drain', () => from.resume());
    from.on('end', () => this.#pass(from, () => to.end()));
    from.on('error', () => this.#pass(from, () => to.destroy()));
    from.on('close', () => this.#pass(from, () => to.destroy()));
  }

  /** A delayed pair passes on in order, as all timers of one length fire in order. */
  #pass(from: Socket, act: () => void): void {
    if (this.#dropped.has(from)) {
      return;
    }
    if (this.#delayMs === 0) {
      act();
      return;
    }
    setTimeout(() => {
      if (!this.#dropped.has(from)) {
        act();
      }
    }, this.#delayMs);
  }

  #drop(from: Socket): void {
    this.#dropped.add(from);
    from.resume();
  }
}

/** Forwards connections to one target; starts by {@link startSilentForwarder}. */
export class SilentForwarder {
  readonly #options: ForwarderOptions;

  readonly #server: Server;

  readonly #pairs = new Set<ForwardedPair>();

  /** Clients taken while the path swallowed everything. */
  readonly #swallowed = new Set<Socket>();

  #cut: CutKind | undefined;

  #delayMs = 0;

  constructor(options: ForwarderOptions) {
    this.#options = options;
    this.#server = createServer({ allowHalfOpen: true }, (client) => this.#accept(client));
  }

  get address(): string {
    return (this.#server.address() as AddressInfo).address;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Open connections that still pass data or went silent. */
  get connectionCount(): number {
    return this.#pairs.size;
  }

  listen(): Promise<void> {
    const { port = 0, address = DEFAULT_ADDRESS } = this.#options;
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, address, () => {
        this.#server.off('error', reject);
        resolve();
      });
    });
  }

  /** The connections open now go silent for good; new ones work. */
  silenceConnections(): void {
    this.#pairs.forEach((pair) => pair.silence());
  }

  /** The connections open now are reset; new ones work. */
  resetConnections(): void {
    this.#pairs.forEach((pair) => pair.reset());
  }

  /** On new connections bytes pass this much later each way; 0 for at once. */
  delay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** Cuts the path for connections old and new, until healed. */
  cut(kind: CutKind): void {
    this.#cut = kind;
    const strike: Readonly<Record<CutKind, (pair: ForwardedPair) => void>> = {
      silent: (pair) => pair.silence(),
      oneWay: (pair) => pair.silenceAnswers(),
      broken: (pair) => pair.destroy(),
    };
    this.#pairs.forEach(strike[kind]);
  }

  /** New connections work again; silent ones stay silent. */
  heal(): void {
    this.#cut = undefined;
  }

  /** Breaks all connections and stops listening. */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#pairs.forEach((pair) => pair.destroy());
      this.#swallowed.forEach((client) => client.destroy());
    });
  }

  #accept(client: Socket): void {
    if (this.#cut === 'broken') {
      client.destroy();
    } else if (this.#cut === 'silent') {
      this.#swallow(client);
    } else {
      this.#forward(client);
    }
  }

  #swallow(client: Socket): void {
    this.#swallowed.add(client);
    client.on('error', () => {});
    client.on('close', () => this.#swallowed.delete(client));
    client.resume();
  }

  #forward(client: Socket): void {
    const { targetAddress: host, targetPort: port } = this.#options;
    const target = connect({ host, port, allowHalfOpen: true });
    const pair = new ForwardedPair(client, target, this.#delayMs);
    if (this.#cut === 'oneWay') {
      pair.silenceAnswers();
    }
    this.#pairs.add(pair);
    const forget = (): void => {
      if (client.destroyed && target.destroyed) {
        this.#pairs.delete(pair);
      }
    };
    client.on('close', forget);
    target.on('close', forget);
  }
}

/** Starts a forwarder that listens. */
export const startSilentForwarder = async (options: ForwarderOptions): Promise<SilentForwarder> => {
  const forwarder = new SilentForwarder(options);
  await forwarder.listen();
  return forwarder;
};
