/** All scenarios of the bench. */
import { getChoiceScenarios } from './choice/index.js';
import { getRolloutScenarios } from './rollouts/index.js';
import type { Scenario } from './types.js';
import { getUpstreamScenarios } from './upstreams/index.js';

/** Scenarios whose name contains the text. */
export const listScenarios = (filter: string): readonly Scenario[] =>
  [...getChoiceScenarios(), ...getRolloutScenarios(), ...getUpstreamScenarios()].filter(
    ({ name }) => name.includes(filter),
  );
