import type { Scenario } from '../types.js';
import { choiceScenarios } from './scenarios.js';

/** Scenarios of model choice. */
export const getChoiceScenarios = (): readonly Scenario[] => choiceScenarios;
