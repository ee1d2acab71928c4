/** Kept-alive connections to each upstream. */
import { Pool } from 'undici';
import {
  CONNECT_TIMEOUT_MS,
  KEEP_ALIVE_MS,
  MAX_ANSWER_BYTES,
  MAX_CONNECTIONS_PER_UPSTREAM,
} from './constants.js';

/**
 * One pool for each upstream URL.
 *
 * What goes wrong: something between the two ends loses track of open connections; they stay open and
 * silent for good while new ones work. One notices by requests that time out one after the other on an
 * upstream that answers its load probe. `renew` prevents it: after a silence no socket opened before it
 * is used again, while requests in progress on the old pool go on until their own timeouts.
 */
export class UpstreamPools {
  readonly #pools = new Map<string, Pool>();

  /** The pool of an upstream's URL. */
  getPool(url: string): Pool {
    const present = this.#pools.get(url);
    if (present) {
      return present;
    }
    const pool = new Pool(url, {
      connections: MAX_CONNECTIONS_PER_UPSTREAM,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connectTimeout: CONNECT_TIMEOUT_MS,
      maxResponseSize: MAX_ANSWER_BYTES,
    });
    this.#pools.set(url, pool);
    return pool;
  }

  /** Leaves the pool that a silent connection came from; no effect if it was left already. */
  renew(url: string, silentPool: Pool): void {
    if (this.#pools.get(url) !== silentPool) {
      return;
    }
    this.#pools.delete(url);
    silentPool.close().catch(() => undefined);
  }

  /** Drops the connections to upstreams that are configured no more. */
  retain(urls: ReadonlySet<string>): void {
    [...this.#pools.entries()]
      .filter(([url]) => !urls.has(url))
      .forEach(([url, pool]) => this.renew(url, pool));
  }

  async destroy(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}
