/** Follows the configuration over broken connections, from daemon to daemon, without a gap. */
import type { Readable } from 'node:stream';
import { sleep } from '@snipehaven/common';
import { WATCH_RETRY_MS, WATCH_SILENCE_MS } from '../constants.js';
import { ApiCallError } from '../errors.js';
import type { HttpCaller } from './httpCaller.js';
import { watchLineSchema, type WatchLine } from './schemas.js';

/** What a watcher hears: lines, and that changes are missing. */
export type WatchEvent = WatchLine | { readonly type: 'historyGone'; readonly revision: number };

export interface WatchQuery {
  readonly afterRevision: number;
  readonly kind?: string | undefined;
  /** Ends the watch. */
  readonly signal: AbortSignal;
}

const HISTORY_GONE_STATUS = 410;

const isWorthNextDaemon = (error: unknown): boolean =>
  !(error instanceof ApiCallError) || error.status >= 500 || error.status === 429;

/** Ends a connection that has gone silent: a daemon sends bookmarks even when nothing changes. */
class SilenceGuard {
  readonly #controller = new AbortController();

  readonly signal: AbortSignal;

  #timer: NodeJS.Timeout | undefined;

  constructor(outer: AbortSignal) {
    this.signal = AbortSignal.any([outer, this.#controller.signal]);
    this.touch();
  }

  touch(): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.#controller.abort(), WATCH_SILENCE_MS);
  }

  end(): void {
    clearTimeout(this.#timer);
  }
}

/** A line cut by a broken connection is left out: it comes whole after the reconnect. */
const restoreLine = (text: string): WatchLine | undefined => {
  try {
    return watchLineSchema.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
};

/** Splits at line ends; the last line, cut without its end, is left out. */
async function* splitLines(body: Readable): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of body) {
    const lines = (rest + decoder.decode(chunk as Buffer, { stream: true })).split('\n');
    rest = lines.pop() ?? '';
    yield* lines;
  }
}

async function* readLines(body: Readable, guard: SilenceGuard): AsyncGenerator<WatchLine> {
  // A stream that is left early fails later, with nobody to hear of it: that would end the process.
  body.on('error', () => undefined);
  for await (const text of splitLines(body)) {
    guard.touch();
    const line = restoreLine(text);
    if (line === undefined) {
      return;
    }
    yield line;
  }
}

async function* watchOne(
  caller: HttpCaller,
  base: string,
  query: WatchQuery,
  revision: number,
): AsyncGenerator<WatchEvent> {
  const guard = new SilenceGuard(query.signal);
  const call = {
    method: 'GET' as const,
    path: '/api/watch',
    query: { afterRevision: revision, kind: query.kind },
  };
  try {
    const { body } = await caller.openStream(base, call, guard.signal);
    yield* readLines(body, guard);
  } catch (error) {
    if (error instanceof ApiCallError && error.status === HISTORY_GONE_STATUS) {
      yield { type: 'historyGone', revision };
      return;
    }
    if (!isWorthNextDaemon(error)) {
      throw error;
    }
  } finally {
    guard.end();
  }
}

/** Marks are told again after each reconnect; a watcher hears each generation once. */
class MarkFilter {
  readonly #generations = new Map<string, number>();

  isNew(event: WatchEvent): boolean {
    if (event.type !== 'safeMove') {
      return true;
    }
    const { key, generation } = event.move;
    const isNew = generation > (this.#generations.get(key) ?? 0);
    this.#generations.set(key, Math.max(generation, this.#generations.get(key) ?? 0));
    return isNew;
  }
}

/**
 * Yields changes after a revision, each once and in order, until the signal aborts. After a broken
 * or silent connection it goes on at the next daemon from the last revision heard. `historyGone`
 * ends it: the watcher must list again.
 */
export async function* watchChanges(
  caller: HttpCaller,
  query: WatchQuery,
): AsyncGenerator<WatchEvent> {
  const marks = new MarkFilter();
  let revision = query.afterRevision;
  for (let turn = 0; !query.signal.aborted; turn += 1) {
    const base = caller.urls[turn % caller.urls.length] ?? '';
    for await (const event of watchOne(caller, base, query, revision)) {
      if (event.type === 'historyGone') {
        yield event;
        return;
      }
      revision = Math.max(revision, event.revision);
      if (marks.isNew(event)) {
        yield event;
      }
    }
    await sleep(WATCH_RETRY_MS, query.signal);
  }
}
