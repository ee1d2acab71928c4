/**
 * Load messages between daemons: the loads at the upstreams, reader reports and shared statistics.
 * Encoded as JSON.
 */
import { LATENCY_BINS, type LatencyProfile, type VersionCounts } from '@snipehaven/policy';
import { isEra, isEraAge, type EraAge } from '../store/storeEra.js';
import { compressDatagram } from './datagram.js';
import {
  NO_ROLLOUT_TIMES,
  type RolloutTimes,
  type SharedStatistics,
  type ServiceModelWork,
  type ServicePace,
  type ServiceRolloutCounts,
} from './sharedStatistics.js';

/** Work and requests of one daemon at one upstream. */
export interface UpstreamLoad {
  readonly work: number;
  readonly requests: number;
}

/** A reader's own observation of a table. */
export interface TableReport {
  readonly table: string;
  readonly era: number;
  /** The store version of the last change of the table, in that era. */
  readonly lastChange: number;
  /** The store's monotonic clock at its last answer. */
  readonly serverTimeMs: number;
}

/** A reader's report as relayed by an aggregator. */
export interface ReaderReport extends TableReport {
  readonly vm: string;
  readonly dataCentre: string;
}

/**
 * `own`: loads of the sender only. `dataCentre`: the sum over a data centre, sent to other data
 * centres. `fleet`: the sum over all daemons, sent within a data centre.
 */
export type LoadScope = 'own' | 'dataCentre' | 'fleet';

export interface LoadMessage {
  readonly vm: string;
  readonly dataCentre: string;
  /** Increases with each message of one process; older messages that arrive late are dropped. */
  readonly sequence: number;
  /** Identifies the process: after a restart the sequence starts from the beginning. */
  readonly process: number;
  readonly loads: ReadonlyMap<string, UpstreamLoad>;
  /** Reports for the tables that the sender reads; empty while it cannot reach the store. */
  readonly news: readonly TableReport[];
  readonly scope: LoadScope;
  /** Only in aggregates: the readers known to the sender. */
  readonly readers: readonly ReaderReport[];
  /** Only in aggregates: number of other daemons of the sender's data centre that are included. */
  readonly members: number;
  /** Statistics of the sender, or of all daemons that the aggregate includes. */
  readonly learned: SharedStatistics;
  /** Of the newest era of the store that the sender knows, if it knows the age. */
  readonly eraAge?: EraAge;
}

type WireLoad = readonly [upstream: string, work: number, requests: number];
type WireReport = readonly [table: string, lastChange: number, serverTimeMs: number, era?: number];
type WireReader = readonly [
  table: string,
  lastChange: number,
  serverTimeMs: number,
  vm: string,
  dataCentre: string,
  era: number,
];
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
/** The weights of the bins in tenths, up to the last bin that is not empty. */
type WireProfile = readonly number[];
type WireTimes = readonly [
  candidate: WireProfile,
  present: WireProfile,
  candidateRequests: number,
  presentRequests: number,
  candidateBodies: WireProfile,
  presentBodies: WireProfile,
];
type WireRollout = readonly [
  service: string,
  orderVersion: number,
  candidate: WireCounts,
  present: WireCounts,
  candidateAtFullShare: readonly WireDataCentreCounts[],
  era?: number,
  times?: WireTimes,
  step?: number,
];
type WireEraAge = readonly [era: number, ageMs: number];
type WireMessage = readonly [
  vm: string,
  dataCentre: string,
  process: number,
  sequence: number,
  loads: readonly WireLoad[],
  news: readonly WireReport[],
  scope: number,
  readers: readonly WireReader[],
  members: number,
  paces: readonly WirePace[],
  demands: readonly WireDemand[],
  rollouts: readonly WireRollout[],
  eraAge?: WireEraAge,
];

/** Weights of bins are told in this fraction. */
const PROFILE_SCALE = 10;

/** The index of a scope is its number on the wire. */
const SCOPES: readonly LoadScope[] = ['own', 'dataCentre', 'fleet'];

const toWireReport = ({ table, era, lastChange, serverTimeMs }: TableReport): WireReport => [
  table,
  lastChange,
  serverTimeMs,
  era,
];

const toWirePace = ({ service, ...sum }: ServicePace): WirePace => [
  service,
  Math.round(sum.work),
  Math.round(sum.tookMs),
  Math.round(sum.answers),
  Math.round(sum.workSquares),
  Math.round(sum.workTimes),
];

/** Begins like an entry of `loads`, followed by the model. */
const toWireDemand = ({ service, model, work }: ServiceModelWork): WireDemand => [
  service,
  Math.round(work),
  0,
  model,
];

const toWireCounts = ({ answers, bad }: VersionCounts): WireCounts => [answers, bad];

const toWireProfile = (profile: LatencyProfile): WireProfile => {
  const tenths = profile.map((weight) => Math.round(weight * PROFILE_SCALE));
  return tenths.slice(0, tenths.findLastIndex((weight) => weight > 0) + 1);
};

const toWireTimes = (times: RolloutTimes): WireTimes => [
  toWireProfile(times.candidate),
  toWireProfile(times.present),
  times.candidateRequests,
  times.presentRequests,
  toWireProfile(times.candidateBodies),
  toWireProfile(times.presentBodies),
];

const toWireRollout = (counts: ServiceRolloutCounts): WireRollout => [
  counts.service,
  counts.orderRevision.version,
  toWireCounts(counts.candidate),
  toWireCounts(counts.present),
  [...counts.candidateAtFullShare].map(([dataCentre, dataCentreCounts]) => [
    dataCentre,
    ...toWireCounts(dataCentreCounts),
  ]),
  counts.orderRevision.era,
  toWireTimes(counts.times),
  counts.step,
];

/** Left out while it is unknown, as before the store first comes back from a copy. */
const toWireEraAge = (eraAge: EraAge | undefined): [] | [WireEraAge] =>
  eraAge === undefined ? [] : [[eraAge.era, eraAge.ageMs]];

export const encodeLoadMessage = (message: LoadMessage): Buffer => {
  const loads = [...message.loads].map(([upstream, { work, requests }]): WireLoad => [
    upstream,
    Math.max(0, Math.round(work)),
    requests,
  ]);
  const { vm, dataCentre, process, sequence, scope } = message;
  const readers = message.readers.map((one): WireReader => [
    one.table,
    one.lastChange,
    one.serverTimeMs,
    one.vm,
    one.dataCentre,
    one.era,
  ]);
  const wire: WireMessage = [
    vm,
    dataCentre,
    process,
    sequence,
    loads,
    message.news.map(toWireReport),
    SCOPES.indexOf(scope),
    readers,
    message.members,
    message.learned.paces.map(toWirePace),
    message.learned.demands.map(toWireDemand),
    message.learned.rollouts.map(toWireRollout),
    ...toWireEraAge(message.eraAge),
  ];
  const json = JSON.stringify(wire);
  // Aggregates are long, and some of them cross data centres, where traffic is expensive.
  return scope === 'own' ? Buffer.from(json) : compressDatagram(json);
};

const isNonNegative = (value: unknown): boolean => Number.isFinite(value) && (value as number) >= 0;

/** A name followed by two non-negative numbers, as in loads and reports. */
const isWireEntry = (value: unknown): value is WireLoad & WireReport =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  isNonNegative(value[1]) &&
  isNonNegative(value[2]);

const isWireReader = (value: unknown): value is WireReader =>
  isWireEntry(value) && typeof value[3] === 'string' && typeof value[4] === 'string';

/** Requires all fields; shorter entries of an older version are ignored. */
const isWirePace = (value: unknown): value is WirePace =>
  isWireEntry(value) &&
  (value as readonly unknown[]).slice(3, 6).filter(isNonNegative).length === 3;

const isWireDemand = (value: unknown): value is WireDemand =>
  isWireEntry(value) && typeof value[3] === 'string';

const isWireCounts = (value: unknown): value is WireCounts =>
  Array.isArray(value) && value.length === 2 && value.every(isNonNegative);

const isWireRollout = (value: unknown): value is WireRollout =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  isNonNegative(value[1]) &&
  isWireCounts(value[2]) &&
  isWireCounts(value[3]) &&
  Array.isArray(value[4]) &&
  value[4].every(isWireEntry);

const isWireEraAge = (value: unknown): value is WireEraAge =>
  Array.isArray(value) && isEra(value[0]) && isEraAge(value[1]);

const toEraAge = (value: unknown): Pick<LoadMessage, 'eraAge'> =>
  isWireEraAge(value) ? { eraAge: { era: value[0], ageMs: value[1] } } : {};

/** Daemons that do not know eras name none. */
const toEra = (value: unknown): number => (isEra(value) ? value : 0);

const toCounts = ([answers, bad]: WireCounts): VersionCounts => ({ answers, bad });

const isWireProfile = (value: unknown): value is WireProfile =>
  Array.isArray(value) && value.length <= LATENCY_BINS && value.every(isNonNegative);

const isWireTimes = (value: unknown): value is WireTimes =>
  Array.isArray(value) &&
  isWireProfile(value[0]) &&
  isWireProfile(value[1]) &&
  isNonNegative(value[2]) &&
  isNonNegative(value[3]) &&
  isWireProfile(value[4]) &&
  isWireProfile(value[5]);

const toProfile = (tenths: WireProfile): LatencyProfile =>
  Array.from({ length: LATENCY_BINS }, (_, bin) => (tenths[bin] ?? 0) / PROFILE_SCALE);

/** Daemons that do not compare answer times name none. */
const toTimes = (value: unknown): RolloutTimes =>
  isWireTimes(value)
    ? {
        candidate: toProfile(value[0]),
        present: toProfile(value[1]),
        candidateRequests: value[2],
        presentRequests: value[3],
        candidateBodies: toProfile(value[4]),
        presentBodies: toProfile(value[5]),
      }
    : NO_ROLLOUT_TIMES;

const toStep = (value: unknown): number => (isNonNegative(value) ? Number(value) : 0);

const toRollout = ([
  service,
  version,
  candidate,
  present,
  candidateAtFullShare,
  era,
  times,
  step,
]: WireRollout): ServiceRolloutCounts => ({
  service,
  orderRevision: { era: toEra(era), version },
  candidate: toCounts(candidate),
  present: toCounts(present),
  candidateAtFullShare: new Map(
    candidateAtFullShare.map(([dataCentre, answers, bad]) => [dataCentre, { answers, bad }]),
  ),
  times: toTimes(times),
  step: toStep(step),
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

const toReport = ([table, lastChange, serverTimeMs, era]: WireReport): TableReport => ({
  table,
  era: toEra(era),
  lastChange,
  serverTimeMs,
});

const toReaderReport = ([
  table,
  lastChange,
  serverTimeMs,
  vm,
  dataCentre,
  era,
]: WireReader): ReaderReport => ({
  ...toReport([table, lastChange, serverTimeMs, era]),
  vm,
  dataCentre,
});

/** Undefined if the decoded datagram is not a valid load message. */
export const decodeLoadMessage = (value: unknown): LoadMessage | undefined => {
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
    eraAge,
  ] = value as unknown[];
  const scope = SCOPES[Number(scopeNumber)];
  const isValid =
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
  if (!isValid) {
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
    news: news.map(toReport),
    scope,
    readers: readers.map(toReaderReport),
    members,
    learned: {
      paces: (paces as unknown[]).filter(isWirePace).map(toPace),
      demands: demands.map(toDemand),
      rollouts: (rollouts as unknown[]).filter(isWireRollout).map(toRollout),
    },
    ...toEraAge(eraAge),
  };
};
