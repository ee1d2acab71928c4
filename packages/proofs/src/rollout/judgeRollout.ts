/** What came of a roll-out, by what callers saw and what the engines did. */
import { getFinalEnd, type CallRecord } from '@snipehaven/demo';
import type { EngineTruth, StreamTruth } from '@snipehaven/standins';
import { CANDIDATE_VERSION, MAX_REACHED_CALLERS, QUARANTINE_GRACE_MS } from './constants.js';
import { candidateKinds, type CandidateKindName } from './kinds.js';
import type { SeenHolder } from './rolloutWatch.js';

/** What the run noted; moments are on the clock of the host. */
export interface RolloutFacts {
  readonly kind: CandidateKindName;
  readonly declaredAtMs: number;
  readonly killedAtMs?: number;
  readonly quarantinedAtMs?: number;
  readonly finishedAtMs?: number;
  readonly phase: string;
  readonly holders: readonly SeenHolder[];
  readonly records: readonly CallRecord[];
  readonly engines: readonly EngineTruth[];
}

export interface RolloutFigures {
  readonly kind: CandidateKindName;
  /** Candidate answers begun for callers, those that the gate kept back included. */
  readonly started: number;
  /** Candidate answers that callers got. */
  readonly reachedCallers: number;
  /** Candidate answers in the shadow. */
  readonly shadowed: number;
  /** Candidate answers begun after the quarantine was in force everywhere. */
  readonly startedAfterQuarantine: number;
  readonly quarantinedAfterMs?: number;
  readonly finishedAfterMs?: number;
  /** From the holder's death to the next lease. */
  readonly resumedAfterMs?: number;
  readonly heldBy: readonly string[];
  readonly phase: string;
  readonly requests: number;
  readonly requestsPerSecond: number;
  /** Requests that may run once only and were under way when the holder was killed, told as such. */
  readonly outcomeUnknown: number;
  /** All other requests that were not answered. */
  readonly failed: number;
  readonly hasHeld: boolean;
}

const SHADOW_MARK = '.shadow.';
const MS_PER_SECOND = 1_000;

const isCandidate = ({ versionId }: StreamTruth): boolean => versionId === CANDIDATE_VERSION;
const isShadow = ({ streamId }: StreamTruth): boolean => streamId.includes(SHADOW_MARK);

const countReached = (records: readonly CallRecord[]): number =>
  records.filter(({ attempts }) =>
    attempts.some(({ end }) => end.kind === 'answered' && end.answer.version === CANDIDATE_VERSION),
  ).length;

const isAnswered = (record: CallRecord): boolean => getFinalEnd(record)?.kind === 'answered';

const isOutcomeUnknown = (record: CallRecord): boolean => {
  const end = getFinalEnd(record);
  return !record.item.isIdempotent && end?.kind === 'refused' && end.code === 'outcomeUnknown';
};

const getRate = (records: readonly CallRecord[]): number => {
  const startsMs = records.flatMap(({ attempts }) => attempts.map((one) => one.startedAtMs));
  const spanMs = Math.max(...startsMs) - Math.min(...startsMs);
  return Math.round((records.length * MS_PER_SECOND) / Math.max(1, spanMs));
};

const getSpan = (fromMs: number | undefined, toMs: number | undefined): number | undefined =>
  fromMs === undefined || toMs === undefined ? undefined : toMs - fromMs;

const findResumedAtMs = ({ killedAtMs, holders }: RolloutFacts): number | undefined =>
  holders.find(({ atMs }) => killedAtMs !== undefined && atMs > killedAtMs)?.atMs;

const toOptional = <Name extends string>(
  name: Name,
  value: number | undefined,
): Partial<Record<Name, number>> =>
  value === undefined ? {} : ({ [name]: value } as Record<Name, number>);

const hasHeld = (figures: Omit<RolloutFigures, 'hasHeld'>): boolean => {
  const { expectedPhase } = candidateKinds[figures.kind];
  const isExposureKept =
    expectedPhase === 'finished' || figures.reachedCallers <= MAX_REACHED_CALLERS;
  const isWhole = figures.failed === 0 && figures.startedAfterQuarantine === 0;
  return figures.phase === expectedPhase && isExposureKept && isWhole;
};

/** The figures of the last line. */
export const judgeRollout = (facts: RolloutFacts): RolloutFigures => {
  const streams = facts.engines.flatMap((engine) => engine.streams).filter(isCandidate);
  const graceEndMs = (facts.quarantinedAtMs ?? Infinity) + QUARANTINE_GRACE_MS;
  const figures = {
    kind: facts.kind,
    started: streams.filter((stream) => !isShadow(stream)).length,
    reachedCallers: countReached(facts.records),
    shadowed: streams.filter(isShadow).length,
    startedAfterQuarantine: streams.filter(({ startedMs }) => startedMs > graceEndMs).length,
    ...toOptional('quarantinedAfterMs', getSpan(facts.declaredAtMs, facts.quarantinedAtMs)),
    ...toOptional('finishedAfterMs', getSpan(facts.declaredAtMs, facts.finishedAtMs)),
    ...toOptional('resumedAfterMs', getSpan(facts.killedAtMs, findResumedAtMs(facts))),
    heldBy: facts.holders.map(({ incarnation }) => incarnation),
    phase: facts.phase,
    requests: facts.records.length,
    requestsPerSecond: getRate(facts.records),
    outcomeUnknown: facts.records.filter(isOutcomeUnknown).length,
    failed: facts.records.filter((record) => !isAnswered(record) && !isOutcomeUnknown(record))
      .length,
  };
  return { ...figures, hasHeld: hasHeld(figures) };
};
