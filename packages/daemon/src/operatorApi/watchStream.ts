/** One open watch: writes changes, safe moves and bookmarks until either side ends it. */
import type { ServerResponse } from 'node:http';
import type { SafeMove } from '@snipehaven/protocol';
import type { Kind, ResourceChange } from '@snipehaven/resources';
import { BOOKMARK_INTERVAL_MS, MAX_WATCH_BACKLOG_BYTES } from './constants.js';
import type { OperatorDependencies, WatchLine } from './types.js';

/** Where a watch begins and what it shows. */
export interface WatchOptions {
  /** Changes up to this revision are not sent. */
  readonly cursor: number;
  readonly kind?: Kind;
}

const compareRevisions = (a: ResourceChange, b: ResourceChange): number => a.revision - b.revision;

export class WatchStream {
  readonly #dependencies: OperatorDependencies;

  readonly #response: ServerResponse;

  readonly #kind: Kind | undefined;

  readonly #stops: (() => void)[] = [];

  #cursor: number;

  constructor(dependencies: OperatorDependencies, response: ServerResponse, options: WatchOptions) {
    this.#dependencies = dependencies;
    this.#response = response;
    this.#kind = options.kind;
    this.#cursor = options.cursor;
  }

  /**
   * Sends the past changes and subscribes to new ones in the same step: nothing can be accepted in
   * between, so there is no gap.
   */
  start(past: readonly ResourceChange[], onEnd: () => void): void {
    this.#response.writeHead(200, {
      'content-type': 'application/x-ndjson',
      'cache-control': 'no-store',
    });
    this.#stops.push(onEnd);
    this.#subscribe();
    this.#dependencies.safeMoves.list().forEach((status) => this.#writeMove(status.move));
    this.#writeChanges(past);
    this.#writeBookmark();
  }

  #subscribe(): void {
    const { configuration, safeMoves, stopSignal } = this.#dependencies;
    const timer = setInterval(() => this.#writeBookmark(), BOOKMARK_INTERVAL_MS);
    const end = (): void => this.#end();
    stopSignal?.addEventListener('abort', end, { once: true });
    this.#response.once('close', end);
    this.#stops.push(
      () => clearInterval(timer),
      () => stopSignal?.removeEventListener('abort', end),
      configuration.onChange((changes) => this.#writeChanges(changes)),
      safeMoves.onChange((move) => this.#writeMove(move)),
    );
  }

  #writeChanges(changes: readonly ResourceChange[]): void {
    const news = changes.filter((change) => change.revision > this.#cursor).sort(compareRevisions);
    news.forEach((change) => this.#writeChange(change));
    this.#cursor = news.at(-1)?.revision ?? this.#cursor;
  }

  #writeChange(change: ResourceChange): void {
    if (this.#kind === undefined || this.#kind === change.kind) {
      this.#write({ type: 'change', ...change });
    }
  }

  #writeMove(move: SafeMove): void {
    if (this.#kind === undefined || this.#kind === 'Withdrawal') {
      this.#write({ type: 'safeMove', revision: this.#cursor, move });
    }
  }

  /**
   * A watcher of a quiet system cannot tell it from a dead connection: it would hear nothing for
   * good. Bookmarks come at a steady pace, so that silence means a fault and it reconnects.
   */
  #writeBookmark(): void {
    this.#write({ type: 'bookmark', revision: this.#cursor });
  }

  #write(line: WatchLine): void {
    if (this.#response.writableLength > MAX_WATCH_BACKLOG_BYTES) {
      this.#response.destroy();
      return;
    }
    this.#response.write(`${JSON.stringify(line)}\n`);
  }

  #end(): void {
    this.#stops.splice(0).forEach((stop) => stop());
    this.#response.end();
  }
}
