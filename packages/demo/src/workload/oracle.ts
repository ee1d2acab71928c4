/** Compares what callers saw and what was billed with what really happened at the stand-ins. */
import type { UsageEntry } from '@snipehaven/protocol';
import {
  getExpectedAnswer,
  type EngineTruth,
  type ServiceTruth,
  type StreamTruth,
} from '@snipehaven/standins';
import { getFinalEnd, type CallAttempt, type CallRecord, type SeenAnswer } from './callRecord.js';

/** A withdrawal as the run made it. */
export interface WithdrawalFact {
  readonly version: string;
  /** When the operator's command reported it in force. */
  readonly inForceAtMs: number;
  /** When an operator began to lift it. */
  readonly liftedAtMs?: number;
}

export interface OracleInput {
  readonly records: readonly CallRecord[];
  readonly engines: readonly EngineTruth[];
  readonly services: readonly ServiceTruth[];
  /** The folded ledger. */
  readonly entries: readonly UsageEntry[];
  readonly withdrawals: readonly WithdrawalFact[];
  readonly isAllowed: (team: string, version: string) => boolean;
  /** What a million answer and prompt tokens cost at the dearest version, in micro-dollars. */
  readonly dearest: { readonly input: number; readonly output: number };
}

/** How often each promise was broken. */
export interface BrokenPromises {
  readonly lost: number;
  readonly doubled: number;
  readonly ranTwice: number;
  readonly misbilled: number;
  readonly falseNotRun: number;
  readonly wrongVersion: number;
  readonly afterWithdrawal: number;
}

/** Counts of broken promises, each with examples for people. */
export interface Verdict extends BrokenPromises {
  readonly requests: number;
  readonly answered: number;
  readonly refusedNotRun: number;
  /** Refused honestly without knowing, or while another run of the key went on. */
  readonly refusedOther: number;
  readonly costVsDearest: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly examples: readonly string[];
}

interface Tally {
  readonly lost: string[];
  readonly doubled: string[];
  readonly ranTwice: string[];
  readonly misbilled: string[];
  readonly falseNotRun: string[];
  readonly wrongVersion: string[];
  readonly afterWithdrawal: string[];
}

const MICRO = 1_000_000;
const EXAMPLES_EACH = 3;

const groupBy = <Item>(
  items: readonly Item[],
  getKey: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> => {
  const groups = new Map<string, Item[]>();
  items.forEach((item) => {
    const key = getKey(item);
    groups.set(key, [...(groups.get(key) ?? []), item]);
  });
  return groups;
};

const listAnswers = (record: CallRecord): readonly SeenAnswer[] =>
  record.attempts.flatMap(({ end }) => (end.kind === 'answered' ? [end.answer] : []));

const isChat = ({ item }: CallRecord): boolean => item.transport !== 'service';

/** Whole answers to the caller's own request, and the same one for each retry. */
const judgeAnswers = (record: CallRecord, tally: Tally): void => {
  const { item } = record;
  const answers = listAnswers(record);
  answers
    .filter(() => isChat(record))
    .forEach((answer) => {
      const expected = getExpectedAnswer(item.prompt, answer.version, answer.completionTokens);
      if (answer.text !== expected) {
        const isLonger = answer.text.length > expected.length;
        (isLonger ? tally.doubled : tally.lost).push(
          `${item.key}: text differs by ${answer.version}`,
        );
      }
    });
  const texts = new Set(answers.map((answer) => answer.text));
  if (!item.isIdempotent && texts.size > 1) {
    tally.doubled.push(`${item.key}: two answers`);
  }
};

const judgeEnd = (record: CallRecord, tally: Tally): void => {
  const end = getFinalEnd(record);
  if (end === undefined || end.kind === 'broken') {
    tally.lost.push(`${record.item.key}: ${end?.reason ?? 'never sent'}`);
  }
};

const countRuns = (
  key: string,
  streams: ReadonlyMap<string, readonly StreamTruth[]>,
  services: readonly ServiceTruth[],
): number =>
  (streams.get(key)?.length ?? 0) +
  services.reduce((sum, service) => sum + (service.runsByKey[key] ?? 0), 0);

/** The ledger's key is the caller's, followed by a digest of what was asked. */
export const getCallerKey = (requestKey: string): string => requestKey.split('#')[0] ?? requestKey;

const isNotRun = ({ end }: CallAttempt): boolean =>
  end.kind === 'refused' && end.verdict === 'notRun';

/**
 * While all attempts so far were refused as not run, nothing may have started, even where a later
 * attempt ran. Engines tell when their runs started; services only count theirs.
 */
const judgeFirstRefusals = (
  { item, attempts }: CallRecord,
  streams: readonly StreamTruth[],
  tally: Tally,
): void => {
  const others = attempts.filter((attempt) => !isNotRun(attempt));
  const firstOtherAtMs = Math.min(...others.map((attempt) => attempt.startedAtMs));
  const early = streams.filter(({ startedMs }) => startedMs < firstOtherAtMs);
  if (early.length > 0) {
    tally.falseNotRun.push(`${item.key}: ${early.length} runs by attempts refused as not run`);
  }
};

const judgeRuns = (record: CallRecord, runs: number, tally: Tally): void => {
  const { item, attempts } = record;
  if (!item.isIdempotent && runs > 1) {
    tally.ranTwice.push(`${item.key}: ${runs} runs`);
  }
  const saysNotRun = attempts.every(isNotRun);
  if (saysNotRun && runs > 0) {
    tally.falseNotRun.push(`${item.key}: ${runs} runs`);
  }
};

/** Plain services tell how often a request ran, not as which run. */
const isServiceLine = (line: UsageEntry['lines'][number]): boolean =>
  line.version.startsWith('service:');

const hasRunOf = (
  line: UsageEntry['lines'][number],
  streamsById: ReadonlyMap<string, readonly StreamTruth[]>,
): boolean => isServiceLine(line) || streamsById.has(line.streamId);

/** A record that charges nothing and claims no run, of a request whose outcome is unknown. */
const isEmptyRecord = (entry: UsageEntry): boolean =>
  entry.outcome === 'unanswered' && entry.costMicroUsd === 0 && entry.lines.length === 0;

const isLineTrue = (
  line: UsageEntry['lines'][number],
  streamsById: ReadonlyMap<string, readonly StreamTruth[]>,
): boolean => {
  const stream = streamsById.get(line.streamId)?.[0];
  return (
    stream === undefined ||
    (stream.promptTokens === line.promptTokens && stream.completionTokens === line.completionTokens)
  );
};

const judgeBill = (
  record: CallRecord,
  runs: number,
  entries: readonly UsageEntry[],
  streamsById: ReadonlyMap<string, readonly StreamTruth[]>,
  tally: Tally,
): void => {
  const { key } = record.item;
  const isAnswered = listAnswers(record).length > 0;
  if (entries.length > 1) {
    tally.misbilled.push(`${key}: ${entries.length} entries`);
  } else if (isAnswered && entries.length !== 1) {
    tally.misbilled.push(`${key}: answered, ${entries.length} entries`);
  }
  if (runs === 0 && !entries.every(isEmptyRecord)) {
    tally.misbilled.push(`${key}: billed without a run`);
  }
  const lines = entries.flatMap((entry) => entry.lines);
  if (!lines.every((line) => hasRunOf(line, streamsById))) {
    tally.misbilled.push(`${key}: a line of a run that never was`);
  }
  const answered = entries.filter((entry) => entry.outcome === 'answered');
  const hasFalseLine = answered.some(
    (entry) => !entry.lines.every((line) => isLineTrue(line, streamsById)),
  );
  if (hasFalseLine) {
    tally.misbilled.push(`${key}: other tokens than ran`);
  }
};

const judgeVersions = (records: readonly CallRecord[], input: OracleInput, tally: Tally): void => {
  records.filter(isChat).forEach((record) => {
    const { item } = record;
    listAnswers(record)
      .filter((answer) => !input.isAllowed(item.team, answer.version))
      .forEach((answer) => tally.wrongVersion.push(`${item.key}: ${answer.version}`));
  });
  const sessions = groupBy(
    records.filter((record) => record.item.session !== undefined),
    (record) => record.item.session ?? '',
  );
  const withdrawn = new Set(input.withdrawals.map(({ version }) => version));
  sessions.forEach((turns, session) => {
    const answers = [...turns]
      .sort((a, b) => a.item.index - b.item.index)
      .flatMap((turn) => listAnswers(turn).slice(-1));
    answers.slice(1).forEach((answer, index) => {
      const previous = answers[index] as SeenAnswer;
      if (answer.version !== previous.version && !withdrawn.has(previous.version)) {
        tally.wrongVersion.push(`${session}: ${previous.version} then ${answer.version}`);
      }
    });
  });
};

const judgeWithdrawals = (input: OracleInput, tally: Tally): void => {
  input.withdrawals.forEach(({ version, inForceAtMs, liftedAtMs = Infinity }) => {
    input.engines
      .flatMap((engine) => engine.streams)
      .filter((stream) => stream.versionId === version)
      .filter(({ startedMs }) => startedMs > inForceAtMs && startedMs < liftedAtMs)
      .forEach((stream) => {
        tally.afterWithdrawal.push(
          `${stream.streamId}: ${stream.startedMs - inForceAtMs} ms after`,
        );
      });
  });
};

/** The cost of the bills against the same tokens at the dearest version. */
const getCostVsDearest = (input: OracleInput): number => {
  const lines = input.entries.flatMap((entry) => entry.lines.slice(-1));
  const chatLines = lines.filter((line) => !line.version.startsWith('service:'));
  const billed = input.entries
    .filter((entry) => !entry.lines.some((line) => line.version.startsWith('service:')))
    .reduce((sum, entry) => sum + entry.costMicroUsd, 0);
  const dearest = chatLines.reduce(
    (sum, line) =>
      sum +
      (line.promptTokens * input.dearest.input + line.completionTokens * input.dearest.output) /
        MICRO,
    0,
  );
  return dearest === 0 ? 0 : billed / dearest;
};

const getQuantile = (sorted: readonly number[], quantile: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;

const listLatencies = (records: readonly CallRecord[]): readonly number[] =>
  records
    .flatMap(({ attempts }) => attempts.filter(({ end }) => end.kind === 'answered').slice(0, 1))
    .map((attempt) => attempt.endedAtMs - attempt.startedAtMs)
    .sort((a, b) => a - b);

/** Judges a run; all counts from `lost` to `afterWithdrawal` must be 0. */
export const judgeRun = (input: OracleInput): Verdict => {
  const tally: Tally = {
    lost: [],
    doubled: [],
    ranTwice: [],
    misbilled: [],
    falseNotRun: [],
    wrongVersion: [],
    afterWithdrawal: [],
  };
  const streams = input.engines.flatMap((engine) => engine.streams);
  const streamsByKey = groupBy(streams, (stream) => stream.requestKey ?? '');
  const streamsById = groupBy(streams, (stream) => stream.streamId);
  const entriesByKey = groupBy(input.entries, (entry) => getCallerKey(entry.requestKey));
  input.records.forEach((record) => {
    const runs = countRuns(record.item.key, streamsByKey, input.services);
    judgeAnswers(record, tally);
    judgeEnd(record, tally);
    judgeRuns(record, runs, tally);
    judgeFirstRefusals(record, streamsByKey.get(record.item.key) ?? [], tally);
    judgeBill(record, runs, entriesByKey.get(record.item.key) ?? [], streamsById, tally);
  });
  judgeVersions(input.records, input, tally);
  judgeWithdrawals(input, tally);
  const ends = input.records.map(getFinalEnd);
  const latencies = listLatencies(input.records);
  const refusedNotRun = ends.filter((end) => end?.kind === 'refused' && end.verdict === 'notRun');
  const refused = ends.filter((end) => end?.kind === 'refused');
  return {
    requests: input.records.length,
    answered: input.records.filter((record) => listAnswers(record).length > 0).length,
    refusedNotRun: refusedNotRun.length,
    refusedOther: refused.length - refusedNotRun.length,
    lost: tally.lost.length,
    doubled: tally.doubled.length,
    ranTwice: tally.ranTwice.length,
    misbilled: tally.misbilled.length,
    falseNotRun: tally.falseNotRun.length,
    wrongVersion: tally.wrongVersion.length,
    afterWithdrawal: tally.afterWithdrawal.length,
    costVsDearest: Number(getCostVsDearest(input).toFixed(3)),
    p50Ms: getQuantile(latencies, 0.5),
    p95Ms: getQuantile(latencies, 0.95),
    examples: Object.entries(tally).flatMap(([promise, found]: [string, readonly string[]]) =>
      found.slice(0, EXAMPLES_EACH).map((example) => `${promise}: ${example}`),
    ),
  };
};
