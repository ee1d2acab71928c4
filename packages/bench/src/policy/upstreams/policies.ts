/** The policies by name: ours, ours as of earlier rounds, and baselines. */
import { chooseUpstream } from '@snipehaven/policy';
import {
  createLeastReportedLoad,
  createPlainTwoChoices,
  createRoundRobin,
} from './baselines/choices.js';
import type { ChooseFunction, OwnRules, PoolPolicy } from './types.js';

const createOwn = (name: string, { rule, concurrency }: OwnRules): PoolPolicy => ({
  name,
  createChoose: () => (input) => chooseUpstream({ ...input, rule })?.upstream,
  usesHealth: true,
  concurrency,
  admission: 'fair',
});

const createBaseline = (
  name: string,
  createChoose: (daemonIndex: number) => ChooseFunction,
): PoolPolicy => ({
  name,
  createChoose,
  usesHealth: false,
  concurrency: 'none',
  admission: 'none',
});

const POLICIES: readonly PoolPolicy[] = [
  createOwn('ours', { rule: 'twoChoices', concurrency: 'aimd' }),
  createOwn('ours-interpreted', { rule: 'interpretedLoad', concurrency: 'aimd' }),
  createOwn('ours-gradient', { rule: 'twoChoices', concurrency: 'gradient' }),
  createBaseline('round-robin', createRoundRobin),
  createBaseline('least-reported-load', createLeastReportedLoad),
  createBaseline('plain-two-choices', createPlainTwoChoices),
  { ...createBaseline('fifo', createPlainTwoChoices), concurrency: 'aimd', admission: 'fifo' },
];

/** A policy by its name. */
export const getPolicy = (name: string): PoolPolicy => {
  const found = POLICIES.find((policy) => policy.name === name);
  if (found === undefined) {
    throw new RangeError(`no policy ${name}`);
  }
  return found;
};
