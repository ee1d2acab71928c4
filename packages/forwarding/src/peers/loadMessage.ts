/** What a daemon tells the others: its work at the upstreams, and news of the store. A datagram of JSON. */
import { packDatagram } from './datagram.js';

/** Work and requests of one daemon at one upstream. */
export interface UpstreamLoad {
  readonly work: number;
  readonly requests: number;
}

/** What a reader of a table saw with its own eyes. */
export interface TableNews {
  readonly table: string;
  /** The store's version of the last change of the table. */
  readonly lastChange: number;
  /** The store's steady clock when it said so. */
  readonly serverTimeMs: number;
}

export interface LoadMessage {
  readonly vm: string;
  readonly dataCentre: string;
  /** Rises with each message of one process; an older one that comes late is dropped. */
  readonly sequence: number;
  /** Tells a restarted process, which counts from the beginning again. */
  readonly process: number;
  readonly loads: ReadonlyMap<string, UpstreamLoad>;
  /** Of the tables that the sender reads; empty while it does not reach the store. */
  readonly news: readonly TableNews[];
  /** The sum of a data centre, which stands in place of the VM's name. */
  readonly isSum?: boolean;
}

type WireLoad = readonly [upstream: string, work: number, requests: number];
type WireNews = readonly [table: string, lastChange: number, serverTimeMs: number];
type WireMessage = readonly [
  vm: string,
  dataCentre: string,
  process: number,
  sequence: number,
  loads: readonly WireLoad[],
  news: readonly WireNews[],
  sum: 0 | 1,
];

export const encodeLoadMessage = (message: LoadMessage): Buffer => {
  const loads = [...message.loads].map(([upstream, { work, requests }]): WireLoad => [
    upstream,
    Math.max(0, Math.round(work)),
    requests,
  ]);
  const news = message.news.map(({ table, lastChange, serverTimeMs }): WireNews => [
    table,
    lastChange,
    serverTimeMs,
  ]);
  const { vm, dataCentre, process, sequence, isSum = false } = message;
  const wire: WireMessage = [vm, dataCentre, process, sequence, loads, news, isSum ? 1 : 0];
  const json = JSON.stringify(wire);
  // Sums are long and cross data centres, where bytes are dear.
  return isSum ? packDatagram(json) : Buffer.from(json);
};

const isAmount = (value: unknown): boolean => Number.isFinite(value) && (value as number) >= 0;

/** A name and two amounts, as loads and news are. */
const isWireEntry = (value: unknown): value is WireLoad & WireNews =>
  Array.isArray(value) && typeof value[0] === 'string' && isAmount(value[1]) && isAmount(value[2]);

/** Undefined when the decoded datagram is no load message. */
export const restoreLoadMessage = (value: unknown): LoadMessage | undefined => {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [vm, dataCentre, process, sequence, loads, news, sum] = value as unknown[];
  const isOurs =
    typeof vm === 'string' &&
    typeof dataCentre === 'string' &&
    typeof process === 'number' &&
    typeof sequence === 'number' &&
    Array.isArray(loads) &&
    loads.every(isWireEntry) &&
    Array.isArray(news) &&
    news.every(isWireEntry);
  if (!isOurs) {
    return undefined;
  }
  const entries = loads.map(
    ([upstream, work, requests]) => [upstream, { work, requests }] as const,
  );
  return {
    vm,
    dataCentre,
    process,
    sequence,
    loads: new Map(entries),
    news: news.map(([table, lastChange, serverTimeMs]) => ({ table, lastChange, serverTimeMs })),
    ...(sum === 1 ? { isSum: true } : {}),
  };
};
