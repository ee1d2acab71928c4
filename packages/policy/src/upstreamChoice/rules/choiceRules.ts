/** The choice rules by name. Earlier ones remain selectable for the bench. */
import type { UpstreamChoiceHandler, UpstreamChoiceRule } from '../types.js';
import { interpretedLoad } from './interpretedLoad.js';
import { twoChoices } from './twoChoices.js';

export const choiceRules: Readonly<Record<UpstreamChoiceRule, UpstreamChoiceHandler>> = {
  twoChoices,
  interpretedLoad,
};

export const DEFAULT_CHOICE_RULE: UpstreamChoiceRule = 'interpretedLoad';
