/** Tries versions with too little evidence, in one of several modes. */
import type { VersionId } from '@snipehaven/common';
import type { CandidateEstimate } from './candidateEstimate.js';
import { planExploration } from './planExploration.js';
import type { PlanOption } from './planOption.js';
import { chooseShadow } from './shadowExploration.js';
import type { ChoiceSettings, ExplorationMode, PlanInput } from './types.js';

/** What exploration changes about a plan; mostly nothing. */
export interface Exploration {
  readonly option?: PlanOption;
  readonly shadowVersion?: VersionId;
}

type Explorer = (
  option: PlanOption,
  estimates: readonly CandidateEstimate[],
  input: PlanInput,
  settings: ChoiceSettings,
) => Exploration;

const explorers: Readonly<Record<ExplorationMode, Explorer>> = {
  cascade: (...parameters) => {
    const option = planExploration(...parameters);
    return option ? { option } : {};
  },
  shadow: (...parameters) => {
    const shadowVersion = chooseShadow(...parameters);
    return shadowVersion ? { shadowVersion } : {};
  },
};

/** Explores as the settings say. */
export const explore: Explorer = (option, estimates, input, settings) =>
  explorers[settings.explorationMode](option, estimates, input, settings);
