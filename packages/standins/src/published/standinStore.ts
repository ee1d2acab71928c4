/**
 * A stand-in of the platform's store, over HTTP: rows, transactions, feeds, its failures, and its
 * returns from a copy.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { sleep } from '@snipehaven/common';

export interface Row {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value: string;
  readonly ver: number;
  readonly deleted?: boolean;
}

interface RowRef {
  readonly table: string;
  readonly part?: string;
  readonly key: string;
}

interface Transaction {
  readonly 'expected-rev'?: readonly (RowRef & { readonly ver: number })[];
  readonly puts?: readonly (RowRef & { readonly value: string })[];
  readonly remove?: readonly RowRef[];
}

/**
 * `busy` answers 503, `silent` never answers, `reset` cuts the connection, `slow` answers late, `lost` does
 * what is asked and cuts the connection instead of answering.
 */
export type StoreFault = 'none' | 'busy' | 'silent' | 'reset' | 'slow' | 'lost';

/** The store's state at one moment. */
export interface StoreCopy {
  readonly rows: ReadonlyMap<string, Row>;
  readonly history: readonly Row[];
  readonly oldestVersion: number;
  readonly version: number;
  /** Number of transactions of the operator and the upstreams until then. */
  readonly outsideWrites: number;
}

/** How late a slow store answers. */
const SLOW_MS = 250;

const toId = ({ table, part = '', key }: RowRef): string => JSON.stringify([table, part, key]);

const send = (response: ServerResponse, status: number, body: unknown): void => {
  response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body));
};

/** Number of the outside transactions that are remembered in order to write them again. */
const MAX_OUTSIDE_WRITES = 2_000;

const readBody = async (request: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
};

export class StandinStore {
  readonly #server: Server;

  readonly #rows = new Map<string, Row>();

  #history: Row[] = [];

  #oldestVersion = 0;

  #version = 0;

  #era = 1;

  /** Transactions of the operator and the upstreams, newest last. */
  readonly #outsideWrites: Transaction[] = [];

  /** Number of transactions that were dropped from the start of that list. */
  #droppedWrites = 0;

  /** Transactions that the last copy lacked, to be written again. */
  #lostWrites: readonly Transaction[] = [];

  #waiting: (() => void)[] = [];

  #calls = 0;

  #fault: StoreFault = 'none';

  /** Between a copy's loss and the return. */
  #isAway = false;

  /** Rows that were written from outside since the last return. */
  readonly #writtenSince = new Set<string>();

  constructor() {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  get calls(): number {
    return this.#calls;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  setFault(fault: StoreFault): void {
    this.#fault = fault;
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes as the operator or an upstream does. */
  put(table: string, key: string, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.#writeFromOutside({
      puts: [{ table, key, value: Buffer.from(text).toString('base64') }],
    });
  }

  remove(table: string, key: string): void {
    this.#writeFromOutside({ remove: [{ table, key }] });
  }

  read(table: string, key: string): unknown {
    const row = this.#rows.get(toId({ table, key }));
    return row && (JSON.parse(Buffer.from(row.value, 'base64').toString('utf8')) as unknown);
  }

  listKeys(table: string): readonly string[] {
    return [...this.#rows.values()].filter((row) => row.table === table).map(({ key }) => key);
  }

  /** Feeds that ask for older changes get 410. */
  dropHistory(): void {
    this.#history = [];
    this.#oldestVersion = this.#version;
    this.#wake();
  }

  takeCopy(): StoreCopy {
    return {
      rows: new Map(this.#rows),
      history: [...this.#history],
      oldestVersion: this.#oldestVersion,
      version: this.#version,
      outsideWrites: this.#droppedWrites + this.#outsideWrites.length,
    };
  }

  /** Refuses all calls until it comes back from a copy. */
  goAway(): void {
    this.#isAway = true;
  }

  /** Comes back from a copy in a new era; calls that are held are cut. */
  restore({ rows, history, oldestVersion, version, outsideWrites }: StoreCopy): void {
    this.#era += 1;
    this.#isAway = false;
    this.#writtenSince.clear();
    this.#rows.clear();
    rows.forEach((row, id) => this.#rows.set(id, row));
    this.#history = [...history];
    this.#oldestVersion = oldestVersion;
    this.#version = version;
    this.#lostWrites = this.#outsideWrites.slice(Math.max(0, outsideWrites - this.#droppedWrites));
    this.#wake();
  }

  /**
   * The operator and the upstreams write again, in order, what the copy lacked, except rows that they
   * have written since.
   */
  rewrite(): void {
    const lost = this.#lostWrites;
    this.#lostWrites = [];
    const isLost = (ref: RowRef): boolean => !this.#writtenSince.has(toId(ref));
    lost.forEach(({ puts = [], remove = [] }) => {
      const transaction = { puts: puts.filter(isLost), remove: remove.filter(isLost) };
      if (transaction.puts.length + transaction.remove.length > 0) {
        this.#apply(transaction);
      }
    });
  }

  #writeFromOutside(transaction: Transaction): void {
    this.#outsideWrites.push(transaction);
    const { puts = [], remove = [] } = transaction;
    [...puts, ...remove].forEach((ref) => this.#writtenSince.add(toId(ref)));
    if (this.#outsideWrites.length > MAX_OUTSIDE_WRITES) {
      this.#outsideWrites.shift();
      this.#droppedWrites += 1;
    }
    this.#apply(transaction);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#calls += 1;
    const url = new URL(request.url ?? '/', 'http://store');
    const body = await readBody(request);
    response.setHeader('Store-Era', String(this.#era));
    if (await this.#isSpoiled(response)) {
      return;
    }
    const handlers: Readonly<Record<string, () => Promise<void> | void>> = {
      '/rows-get': () => this.#get(url.searchParams, response),
      '/rows-feed': () => this.#feed(url.searchParams, response),
      '/rows-tx': () => this.#transact(JSON.parse(body) as Transaction, response),
    };
    await (handlers[url.pathname] ?? (() => send(response, 404, {})))();
  }

  /** True when the call is not to be done. */
  async #isSpoiled(response: ServerResponse): Promise<boolean> {
    if (this.#isAway) {
      send(response, 503, {});
      return true;
    }
    const handlers: Readonly<Record<StoreFault, () => Promise<boolean> | boolean>> = {
      none: () => false,
      busy: () => {
        send(response, 503, {});
        return true;
      },
      silent: () => true,
      reset: () => {
        response.destroy();
        return true;
      },
      slow: async () => {
        await sleep(SLOW_MS);
        return false;
      },
      lost: () => {
        response.destroy();
        return false;
      },
    };
    return handlers[this.#fault]();
  }

  #get(query: URLSearchParams, response: ServerResponse): void {
    const table = query.get('table');
    const from = query.get('from') ?? '';
    const limit = Number(query.get('limit') ?? 500);
    const all = [...this.#rows.values()]
      .filter((row) => row.table === table && row.key >= from)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    send(response, 200, {
      records: all.slice(0, limit),
      'has-more': all.length > limit,
      ...this.#getStamp(),
    });
  }

  async #feed(query: URLSearchParams, response: ServerResponse): Promise<void> {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const endAtMs = performance.now() + Number(query.get('wait-timeout-ms'));
    const era = this.#era;
    for (;;) {
      if (era !== this.#era) {
        response.destroy();
        return;
      }
      if (after < this.#oldestVersion || after > this.#version) {
        send(response, 410, {});
        return;
      }
      const records = this.#history.filter((row) => row.table === table && row.ver > after);
      const leftMs = endAtMs - performance.now();
      if (records.length > 0 || leftMs <= 0) {
        send(response, 200, { records, ...this.#getStamp() });
        return;
      }
      await this.#waitForChange(leftMs);
    }
  }

  #transact(transaction: Transaction, response: ServerResponse): void {
    const failed = (transaction['expected-rev'] ?? []).filter(
      (condition) => (this.#rows.get(toId(condition))?.ver ?? 0) !== condition.ver,
    );
    if (failed.length > 0) {
      const records = failed.flatMap((condition) => this.#rows.get(toId(condition)) ?? []);
      send(response, 412, { records, ...this.#getStamp() });
      return;
    }
    this.#apply(transaction);
    send(response, 200, this.#getStamp());
  }

  #apply({ puts = [], remove = [] }: Transaction): void {
    this.#version += 1;
    const ver = this.#version;
    for (const { table, part = '', key, value } of puts) {
      const row = { table, part, key, value, ver };
      this.#rows.set(toId(row), row);
      this.#history.push(row);
    }
    for (const ref of remove) {
      const row = this.#rows.get(toId(ref));
      if (this.#rows.delete(toId(ref)) && row) {
        this.#history.push({ ...row, ver, deleted: true });
      }
    }
    this.#wake();
  }

  #getStamp() {
    return { ver: this.#version, 'server-time-ms': Math.round(performance.now()) };
  }

  #wake(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((resolve) => resolve());
  }

  #waitForChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.#waiting.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
