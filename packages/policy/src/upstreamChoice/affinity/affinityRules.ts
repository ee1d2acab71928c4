/** The affinity rules by name. Earlier ones remain selectable for the bench. */
import type { AffinityHandler, AffinityRule } from '../types.js';
import { boundedOwner } from './boundedOwner.js';
import { spreadOwners } from './spreadOwners.js';
import { warmSet } from './warmSet.js';

export const affinityRules: Readonly<Record<AffinityRule, AffinityHandler>> = {
  boundedOwner,
  warmSet,
  spreadOwners,
};

export const DEFAULT_AFFINITY_RULE: AffinityRule = 'spreadOwners';
