/** The rules by name; earlier ones stay selectable for the bench. */
import type { UpstreamChoiceHandler, UpstreamChoiceRule } from '../types.js';
import { interpretedLoad } from './interpretedLoad.js';
import { twoChoices } from './twoChoices.js';

export const choiceRules: Readonly<Record<UpstreamChoiceRule, UpstreamChoiceHandler>> = {
  twoChoices,
  interpretedLoad,
};

/** The rule in force. */
export const DEFAULT_CHOICE_RULE: UpstreamChoiceRule = 'interpretedLoad';
