/**
 * What a daemon tells the others: its work at the upstreams, and news of the store. A datagram of JSON.
 */
import type { VersionCounts } from '@snipehaven/policy';
import { packDatagram } from './datagram.js';
import type { Learned, ServiceModelWork, ServicePace, ServiceRolloutCounts } from './learned.js';

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

/** A reader's news as an aggregator passes them on. */
export interface ReaderNews extends TableNews {
  readonly vm: string;
  readonly dataCentre: string;
}

/**
 * `own`: one daemon's. `dataCentre`: the sum over a data centre, told to others. `fleet`: the sum over
 * all, told within a data centre.
 */
export type LoadScope = 'own' | 'dataCentre' | 'fleet';

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
  readonly scope: LoadScope;
  /** Of sums: who reads the store's tables, as far as the sender knows. */
  readonly readers: readonly ReaderNews[];
  /** Of sums: the daemons of the sender's data centre that it counts, itself aside. */
  readonly members: number;
  /** What the sender, or all that its sum counts, learned of engines. */
  readonly learned: Learned;
}

type WireLoad = readonly [upstream: string, work: number, requests: number];
type WireNews = readonly [table: string, lastChange: number, serverTimeMs: number];
type WireReader = readonly [...WireNews, vm: string, dataCentre: string];
type WirePace = readonly [
  service: string,
  work: number,
  tookMs: number,
  answers: number,
  workSquares: number,
  workTimes: number,
];
type WireDemand = readonly [service: string, work: number, always: 0, model: string];
type WireCounts = readonly [answers: number, bad: number];
type WireDataCentreCounts = readonly [dataCentre: string, answers: number, bad: number];
type WireRollout = readonly [
  service: string,
  orderVersion: number,
  candidate: WireCounts,
  present: WireCounts,
  candidateAtFullShare: readonly WireDataCentreCounts[],
];
type WireMessage = readonly [
  vm: string,
  dataCentre: string,
  process: number,
  sequence: number,
  loads: readonly WireLoad[],
  news: readonly WireNews[],
  scope: number,
  readers: readonly WireReader[],
  members: number,
  paces: readonly WirePace[],
  demands: readonly WireDemand[],
  rollouts: readonly WireRollout[],
];

/** By their number on the wire. */
const SCOPES: readonly LoadScope[] = ['own', 'dataCentre', 'fleet'];

const toWireNews = ({ table, lastChange, serverTimeMs }: TableNews): WireNews => [
  table,
  lastChange,
  serverTimeMs,
];

const toWirePace = ({ service, ...sum }: ServicePace): WirePace => [
  service,
  Math.round(sum.work),
  Math.round(sum.tookMs),
  Math.round(sum.answers),
  Math.round(sum.workSquares),
  Math.round(sum.workTimes),
];

/** Shaped as an entry of loads with a name more. */
const toWireDemand = ({ service, model, work }: ServiceModelWork): WireDemand => [
  service,
  Math.round(work),
  0,
  model,
];

const toWireCounts = ({ answers, bad }: VersionCounts): WireCounts => [answers, bad];

const toWireRollout = (counts: ServiceRolloutCounts): WireRollout => [
  counts.service,
  counts.orderVersion,
  toWireCounts(counts.candidate),
  toWireCounts(counts.present),
  [...counts.candidateAtFullShare].map(([dataCentre, dataCentreCounts]) => [
    dataCentre,
    ...toWireCounts(dataCentreCounts),
  ]),
];

export const encodeLoadMessage = (message: LoadMessage): Buffer => {
  const loads = [...message.loads].map(([upstream, { work, requests }]): WireLoad => [
    upstream,
    Math.max(0, Math.round(work)),
    requests,
  ]);
  const { vm, dataCentre, process, sequence, scope } = message;
  const readers = message.readers.map((one): WireReader => [
    ...toWireNews(one),
    one.vm,
    one.dataCentre,
  ]);
  const wire: WireMessage = [
    vm,
    dataCentre,
    process,
    sequence,
    loads,
    message.news.map(toWireNews),
    SCOPES.indexOf(scope),
    readers,
    message.members,
    message.learned.paces.map(toWirePace),
    message.learned.demands.map(toWireDemand),
    message.learned.rollouts.map(toWireRollout),
  ];
  const json = JSON.stringify(wire);
  // Sums are long, and some cross data centres, where bytes are dear.
  return scope === 'own' ? Buffer.from(json) : packDatagram(json);
};

const isAmount = (value: unknown): boolean => Number.isFinite(value) && (value as number) >= 0;

/** A name and two amounts, as loads and news are. */
const isWireEntry = (value: unknown): value is WireLoad & WireNews =>
  Array.isArray(value) && typeof value[0] === 'string' && isAmount(value[1]) && isAmount(value[2]);

const isWireReader = (value: unknown): value is WireReader =>
  isWireEntry(value) && typeof value[3] === 'string' && typeof value[4] === 'string';

/** As this version tells them; an older one tells less, and is not learned from. */
const isWirePace = (value: unknown): value is WirePace =>
  isWireEntry(value) && (value as readonly unknown[]).slice(3, 6).filter(isAmount).length === 3;

const isWireDemand = (value: unknown): value is WireDemand =>
  isWireEntry(value) && typeof value[3] === 'string';

const isWireCounts = (value: unknown): value is WireCounts =>
  Array.isArray(value) && value.length === 2 && value.every(isAmount);

const isWireRollout = (value: unknown): value is WireRollout =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  isAmount(value[1]) &&
  isWireCounts(value[2]) &&
  isWireCounts(value[3]) &&
  Array.isArray(value[4]) &&
  value[4].every(isWireEntry);

const toCounts = ([answers, bad]: WireCounts): VersionCounts => ({ answers, bad });

const toRollout = ([
  service,
  orderVersion,
  candidate,
  present,
  candidateAtFullShare,
]: WireRollout): ServiceRolloutCounts => ({
  service,
  orderVersion,
  candidate: toCounts(candidate),
  present: toCounts(present),
  candidateAtFullShare: new Map(
    candidateAtFullShare.map(([dataCentre, answers, bad]) => [dataCentre, { answers, bad }]),
  ),
});

const toPace = ([
  service,
  work,
  tookMs,
  answers,
  workSquares,
  workTimes,
]: WirePace): ServicePace => ({
  service,
  work,
  tookMs,
  answers,
  workSquares,
  workTimes,
});

const toDemand = ([service, work, , model]: WireDemand): ServiceModelWork => ({
  service,
  model,
  work,
});

const toNews = ([table, lastChange, serverTimeMs]: WireNews): TableNews => ({
  table,
  lastChange,
  serverTimeMs,
});

const toReader = ([table, lastChange, serverTimeMs, vm, dataCentre]: WireReader): ReaderNews => ({
  ...toNews([table, lastChange, serverTimeMs]),
  vm,
  dataCentre,
});

/** Undefined when the decoded datagram is no load message. */
export const restoreLoadMessage = (value: unknown): LoadMessage | undefined => {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [
    vm,
    dataCentre,
    process,
    sequence,
    loads,
    news,
    scopeNumber,
    readers,
    members,
    paces,
    demands,
    rollouts = [],
  ] = value as unknown[];
  const scope = SCOPES[Number(scopeNumber)];
  const isOurs =
    typeof vm === 'string' &&
    typeof dataCentre === 'string' &&
    typeof process === 'number' &&
    typeof sequence === 'number' &&
    Array.isArray(loads) &&
    loads.every(isWireEntry) &&
    Array.isArray(news) &&
    news.every(isWireEntry) &&
    scope !== undefined &&
    Array.isArray(readers) &&
    readers.every(isWireReader) &&
    typeof members === 'number' &&
    Array.isArray(paces) &&
    paces.every(isWireEntry) &&
    Array.isArray(demands) &&
    demands.every(isWireDemand) &&
    Array.isArray(rollouts);
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
    news: news.map(toNews),
    scope,
    readers: readers.map(toReader),
    members,
    learned: {
      paces: (paces as unknown[]).filter(isWirePace).map(toPace),
      demands: demands.map(toDemand),
      rollouts: (rollouts as unknown[]).filter(isWireRollout).map(toRollout),
    },
  };
};
