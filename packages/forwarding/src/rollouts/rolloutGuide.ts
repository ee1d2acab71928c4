/** Which software versions of a service may get a request while a roll-out is under way. */
import type { Logger } from '@snipehaven/common';
import type { RequestOptions, RolloutOrder, Upstream } from '../types.js';
import type { UpstreamEntry, UpstreamOutcome } from '../upstreams/index.js';

export class RolloutGuide {
  readonly #logger: Logger;

  readonly #orders = new Map<string, RolloutOrder>();

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  takeOrder(order: RolloutOrder): void {
    this.#orders.set(order.service, order);
    this.#logger.info({ event: 'rolloutOrdered', ...order }, 'roll-out ordered');
  }

  removeOrder(service: string): void {
    this.#orders.delete(service);
  }

  /** The upstreams that this request may go to. */
  narrow(service: string, _options: RequestOptions, entries: UpstreamEntry[]): UpstreamEntry[] {
    const order = this.#orders.get(service);
    if (order === undefined) {
      return entries;
    }
    return entries.filter(({ upstream }) => upstream.softwareVersion !== order.toVersion);
  }

  noteOutcome(_upstream: Upstream, _outcome: UpstreamOutcome): void {
    // Outcomes do not decide yet: the new version gets no traffic.
  }
}
