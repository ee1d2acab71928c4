import type { Scenario } from '../types.js';

/** Scenarios of roll-outs. */
export const getRolloutScenarios = (): readonly Scenario[] => [];
