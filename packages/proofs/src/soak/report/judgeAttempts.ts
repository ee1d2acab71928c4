/** Judges what only single attempts show: graceful stops and the ends of streams. */
import type { SoakFacts } from '../soakFacts.js';
import type { SentAttempt } from '../types.js';

const CLEAN_END_OF_CUT_STREAM = 'the stream ended before its finish reason';
/** How the libraries name a connection that broke, not a timeout nor an honest error. */
export const CONNECTION_BROKE =
  /connection error|terminated|socket|econnrefused|other side closed|econnreset|premature close/i;

const getBrokenReason = ({ end }: SentAttempt): string | undefined =>
  end.kind === 'broken' ? end.reason : undefined;

/** Requests that a graceful stop cut off. */
const listCutByStop = (facts: SoakFacts, attempts: readonly SentAttempt[]): readonly string[] =>
  facts.stops.flatMap(({ vm, fromMs, untilMs }) =>
    attempts
      .filter((attempt) => attempt.vm === vm && attempt.startedAtMs < untilMs)
      .filter((attempt) => attempt.endedAtMs >= fromMs)
      .filter((attempt) => CONNECTION_BROKE.test(getBrokenReason(attempt) ?? ''))
      .map(({ item, startedAtMs, end }) => {
        const reason = end.kind === 'broken' ? end.reason : '';
        return `${item.key}: cut by the stop of ${vm}, ${startedAtMs - fromMs} ms after it: ${reason}`;
      }),
  );

/** A cut answer must end with an error, never like a whole one. */
const listCleanCuts = (attempts: readonly SentAttempt[]): readonly string[] =>
  attempts
    .filter((attempt) => getBrokenReason(attempt) === CLEAN_END_OF_CUT_STREAM)
    .map(({ item, vm }) => `${item.key}: a cut answer ended cleanly at ${vm}`);

export const judgeAttempts = (
  facts: SoakFacts,
  attempts: readonly SentAttempt[],
): readonly string[] => [...listCutByStop(facts, attempts), ...listCleanCuts(attempts)];
