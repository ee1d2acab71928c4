/** Who can reach whom: cuts between data centres and to the platform, frozen and killed daemons. */
import { sleep } from '@snipehaven/common';

/** The platform's place in the network. */
export const PLATFORM = 'platform';

const ONE_WAY_MS = 1;

/** A call over the network failed before it arrived, or its answer did not come back. */
export class NetworkLostError extends Error {
  /** Whether the call arrived and may have taken effect. */
  readonly hasArrived: boolean;

  constructor(message: string, hasArrived: boolean) {
    super(message);
    this.hasArrived = hasArrived;
  }
}

const getLink = (a: string, b: string): string => [a, b].sort().join('|');

export class Network {
  readonly #cuts = new Set<string>();

  readonly #isolated = new Set<string>();

  readonly #dead = new Set<string>();

  readonly #places = new Map<string, string>();

  /** Says in which data centre a node stands; the platform stands in its own place. */
  place(node: string, dataCentre: string): void {
    this.#places.set(node, dataCentre);
  }

  cut(placeA: string, placeB: string): void {
    this.#cuts.add(getLink(placeA, placeB));
  }

  heal(): void {
    this.#cuts.clear();
    this.#isolated.clear();
  }

  /** Cuts one node off from everything, as a frozen process is. */
  isolate(node: string): void {
    this.#isolated.add(node);
  }

  /** Cuts a killed process off for good: no healing brings back what it still tries to do. */
  bury(node: string): void {
    this.#dead.add(node);
  }

  rejoin(node: string): void {
    this.#isolated.delete(node);
  }

  isReachable(from: string, to: string): boolean {
    if (from === to) {
      return true;
    }
    const hasEnds = [from, to].every((node) => !this.#isolated.has(node) && !this.#dead.has(node));
    return hasEnds && !this.#cuts.has(getLink(this.#getPlace(from), this.#getPlace(to)));
  }

  /** Performs a call at a distance; what can't get through is lost after `timeoutMs`. */
  async call<Result>(
    from: string,
    to: string,
    timeoutMs: number,
    perform: () => Promise<Result>,
  ): Promise<Result> {
    await this.#travel(from, to, timeoutMs, false);
    const result = await this.#withTimeout(perform(), timeoutMs, to);
    await this.#travel(to, from, timeoutMs, true);
    return result;
  }

  async #travel(from: string, to: string, timeoutMs: number, hasArrived: boolean): Promise<void> {
    await sleep(ONE_WAY_MS);
    if (!this.isReachable(from, to)) {
      await sleep(timeoutMs);
      throw new NetworkLostError(`${from} cannot reach ${to}`, hasArrived);
    }
  }

  async #withTimeout<Result>(
    result: Promise<Result>,
    timeoutMs: number,
    to: string,
  ): Promise<Result> {
    const timer = new AbortController();
    const timeout = sleep(timeoutMs, timer.signal).then((): never => {
      throw new NetworkLostError(`${to} did not answer in time`, true);
    });
    timeout.catch(() => undefined);
    try {
      return await Promise.race([result, timeout]);
    } finally {
      timer.abort();
      result.catch(() => undefined);
    }
  }

  #getPlace(node: string): string {
    return this.#places.get(node) ?? node;
  }
}
