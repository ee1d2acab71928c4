import type { Scenario } from '../types.js';
import { rolloutScenarios } from './scenarios.js';

/** Scenarios of roll-outs. */
export const getRolloutScenarios = (): readonly Scenario[] => rolloutScenarios;
