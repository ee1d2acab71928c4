/** Figures of a run for people: recovery, time to in force, service while cut off. */
import type { SoakFacts } from '../soakFacts.js';
import type { SentAttempt } from '../types.js';
import { CONNECTION_BROKE } from './judgeAttempts.js';
import type { InForceMeasure } from '../watch/inForceProbe.js';

export interface Spread {
  readonly count: number;
  readonly p50: number;
  readonly max: number;
}

const RECOVERY_WINDOW_MS = 20_000;
const MS_PER_SECOND = 1_000;

const toSeconds = (durationMs: number): number => Math.round(durationMs / 10) / 100;

const getSpread = (valuesMs: readonly number[]): Spread => {
  const sorted = [...valuesMs].sort((a, b) => a - b);
  const middle = sorted[Math.floor(sorted.length / 2)] ?? 0;
  return { count: sorted.length, p50: toSeconds(middle), max: toSeconds(sorted.at(-1) ?? 0) };
};

/** Seconds from a kill to the end of the last attempt that the balancer sent to the VM in vain. */
export const getRecovery = (facts: SoakFacts, attempts: readonly SentAttempt[]): Spread => {
  const broken = attempts.filter(
    ({ end }) => end.kind === 'broken' && CONNECTION_BROKE.test(end.reason),
  );
  return getSpread(
    facts.kills.map(({ vm, atMs }) => {
      const ends = broken
        .filter((attempt) => attempt.vm === vm && attempt.endedAtMs >= atMs)
        .filter((attempt) => attempt.startedAtMs < atMs + RECOVERY_WINDOW_MS)
        .map((attempt) => attempt.endedAtMs - atMs)
        .filter((afterMs) => afterMs < RECOVERY_WINDOW_MS);
      return Math.max(0, ...ends);
    }),
  );
};

export interface InForceFigures {
  readonly quiet: Spread;
  readonly underFaults: Spread;
  /** From the end of a cut that fell in between. */
  readonly sinceHeal: Spread;
}

export const getInForceFigures = (measures: readonly InForceMeasure[]): InForceFigures => {
  const cut = measures.flatMap(({ sinceHealMs }) =>
    sinceHealMs === undefined ? [] : [sinceHealMs],
  );
  const others = measures.filter(({ sinceHealMs }) => sinceHealMs === undefined);
  const inForceOf = (isDisturbed: boolean): Spread =>
    getSpread(
      others
        .filter((measure) => measure.isDisturbed === isDisturbed)
        .map(({ inForceMs }) => inForceMs),
    );
  return { quiet: inForceOf(false), underFaults: inForceOf(true), sinceHeal: getSpread(cut) };
};

/** Kinds of request that differ in what they need from outside. */
const getKind = ({ item }: SentAttempt): string => {
  const transport = item.transport === 'service' ? 'service' : 'chat';
  const session = item.session === undefined ? '' : ' in a session';
  return `${transport}${session}, ${item.isIdempotent ? 'idempotent' : 'at most once'}`;
};

export interface CutOffShare {
  readonly kind: string;
  readonly requests: number;
  readonly answered: number;
}

/** Requests sent to a data centre while it was cut off from all else, and those answered there. */
export const listCutOffShares = (
  facts: SoakFacts,
  attempts: readonly SentAttempt[],
  placeOf: (vm: string) => string | undefined,
): readonly CutOffShare[] => {
  const byKind = new Map<string, { requests: Set<string>; answered: Set<string> }>();
  facts.cutOffs.forEach(({ dataCentre, fromMs, untilMs }) => {
    attempts
      .filter(({ vm }) => placeOf(vm) === dataCentre)
      .filter(({ startedAtMs }) => startedAtMs >= fromMs)
      .filter(({ endedAtMs }) => endedAtMs <= untilMs)
      .forEach((attempt) => {
        const kind = getKind(attempt);
        const counts = byKind.get(kind) ?? { requests: new Set(), answered: new Set() };
        byKind.set(kind, counts);
        counts.requests.add(attempt.item.key);
        if (attempt.end.kind === 'answered') {
          counts.answered.add(attempt.item.key);
        }
      });
  });
  return [...byKind].map(([kind, { requests, answered }]) => ({
    kind,
    requests: requests.size,
    answered: answered.size,
  }));
};

/** Requests a second over the run. */
export const getRate = (attempts: readonly SentAttempt[]): number => {
  const first = attempts[0]?.startedAtMs ?? 0;
  const last = attempts.at(-1)?.endedAtMs ?? 0;
  return last === first ? 0 : Math.round((attempts.length * MS_PER_SECOND) / (last - first));
};
