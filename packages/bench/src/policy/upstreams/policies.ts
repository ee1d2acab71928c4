/** The policies by name: ours, ours as of earlier rounds, and baselines. */
import { chooseUpstream } from '@snipehaven/policy';
import {
  createLeastReportedLoad,
  createPlainTwoChoices,
  createRoundRobin,
} from './baselines/choices.js';
import type { ChooseFunction, OwnRules, PoolPolicy } from './types.js';

const createOwn = (
  name: string,
  { concurrency, usesOwnSlots, ...rules }: OwnRules,
): PoolPolicy => ({
  name,
  createChoose: () => (input) => chooseUpstream({ ...input, ...rules })?.upstream,
  usesHealth: true,
  usesAffinity: true,
  usesOwnSlots,
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
  usesAffinity: false,
  usesOwnSlots: false,
  concurrency: 'none',
  admission: 'none',
});

const POLICIES: readonly PoolPolicy[] = [
  createOwn('ours', {
    rule: 'interpretedLoad',
    affinityRule: 'spreadOwners',
    concurrency: 'reported',
    usesOwnSlots: true,
  }),
  createOwn('ours-round3', {
    rule: 'twoChoices',
    affinityRule: 'warmSet',
    concurrency: 'reported',
    usesOwnSlots: false,
  }),
  createOwn('ours-round2', {
    rule: 'twoChoices',
    affinityRule: 'boundedOwner',
    concurrency: 'reported',
    usesOwnSlots: false,
  }),
  createOwn('ours-round1', {
    rule: 'twoChoices',
    affinityRule: 'boundedOwner',
    concurrency: 'aimd',
    usesOwnSlots: false,
  }),
  createBaseline('round-robin', createRoundRobin),
  createBaseline('least-reported-load', createLeastReportedLoad),
  createBaseline('plain-two-choices', createPlainTwoChoices),
  { ...createBaseline('fifo', createPlainTwoChoices), concurrency: 'reported', admission: 'fifo' },
];

/** A policy by its name. */
export const getPolicy = (name: string): PoolPolicy => {
  const found = POLICIES.find((policy) => policy.name === name);
  if (found === undefined) {
    throw new RangeError(`no policy ${name}`);
  }
  return found;
};
