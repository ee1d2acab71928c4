/** Prints what a run found: broken promises, figures, and the last line. */
import type { BrokenPromises, Verdict } from '@snipehaven/demo';
import type { SoakFacts } from '../soakFacts.js';
import type { Say, SentAttempt } from '../types.js';
import type { InForceMeasure } from '../watch/inForceProbe.js';
import {
  getInForceFigures,
  getRate,
  getRecovery,
  listCutOffShares,
  type Spread,
} from './figures.js';

export interface SoakOutcome {
  readonly verdict: Verdict;
  readonly facts: SoakFacts;
  readonly attempts: readonly SentAttempt[];
  readonly measures: readonly InForceMeasure[];
  readonly placeOf: (vm: string) => string | undefined;
}

/** The last line; broken promises, reverts and invariants must be 0. */
export interface SoakCounts extends BrokenPromises {
  readonly requests: number;
  readonly answered: number;
  readonly kills: number;
  readonly freezes: number;
  readonly cuts: number;
  readonly outages: number;
  readonly configReverts: number;
  readonly invariants: number;
}

const EXAMPLES = 10;

const spell = ({ count, p50, max }: Spread): string => `p50 ${p50} s, max ${max} s (${count})`;

export const toCounts = ({ verdict, facts }: SoakOutcome): SoakCounts => ({
  requests: verdict.requests,
  answered: verdict.answered,
  kills: facts.kills.length,
  freezes: facts.freezes,
  cuts: facts.cuts,
  outages: facts.outages,
  lost: verdict.lost,
  doubled: verdict.doubled,
  ranTwice: verdict.ranTwice,
  misbilled: verdict.misbilled,
  falseNotRun: verdict.falseNotRun,
  wrongVersion: verdict.wrongVersion,
  afterWithdrawal: verdict.afterWithdrawal,
  configReverts: facts.configReverts.length,
  invariants: facts.invariants.length,
});

export const isKept = (counts: SoakCounts): boolean =>
  counts.lost +
    counts.doubled +
    counts.ranTwice +
    counts.misbilled +
    counts.falseNotRun +
    counts.wrongVersion +
    counts.afterWithdrawal +
    counts.configReverts +
    counts.invariants ===
  0;

const sayBroken = ({ verdict, facts }: SoakOutcome, say: Say): void => {
  verdict.examples.forEach((example) => say(`BROKEN ${example}`));
  facts.configReverts.slice(0, EXAMPLES).forEach((what) => say(`BROKEN configReverts: ${what}`));
  facts.invariants.slice(0, EXAMPLES).forEach((what) => say(`BROKEN invariants: ${what}`));
};

const sayFigures = ({ verdict, facts, attempts, measures, placeOf }: SoakOutcome, say: Say) => {
  const inForce = getInForceFigures(measures);
  const refused = verdict.refusedNotRun + verdict.refusedOther;
  say(
    `${attempts.length} attempts at ${getRate(attempts)}/s; ${refused} requests refused with a reason`,
  );
  say(`answered after p50 ${verdict.p50Ms} ms, p95 ${verdict.p95Ms} ms`);
  say(`recovery after a kill: ${spell(getRecovery(facts, attempts))}`);
  say(`accepted write in force everywhere, no fault: ${spell(inForce.quiet)}`);
  say(`accepted write in force everywhere, under faults: ${spell(inForce.underFaults)}`);
  say(`in force everywhere after a cut healed: ${spell(inForce.sinceHeal)}`);
  listCutOffShares(facts, attempts, placeOf).forEach(({ kind, requests, answered }) => {
    const share = Math.round((100 * answered) / requests);
    say(`answered by a data centre cut off from all else, ${kind}: ${share} % of ${requests}`);
  });
};

/** Prints all; returns whether every promise held. */
export const sayReport = (outcome: SoakOutcome, say: Say): boolean => {
  const counts = toCounts(outcome);
  sayBroken(outcome, say);
  sayFigures(outcome, say);
  const hasHeld = isKept(counts);
  say(hasHeld ? 'every promise held' : 'A PROMISE BROKE');
  say(JSON.stringify(counts));
  return hasHeld;
};
