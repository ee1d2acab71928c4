/** Explores versions with too little evidence, in the configured mode. */
import type { VersionId } from '@snipehaven/common';
import type { CandidateEstimate } from './candidateEstimate.js';
import { planExploration } from './planExploration.js';
import type { PlanOption } from './planOption.js';
import { chooseShadowVersion } from './shadowExploration.js';
import type { ChoiceSettings, ExplorationMode, PlanInput } from './types.js';

/** Changes that exploration makes to a plan; usually none. */
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
    const shadowVersion = chooseShadowVersion(...parameters);
    return shadowVersion ? { shadowVersion } : {};
  },
};

export const explore: Explorer = (option, estimates, input, settings) =>
  explorers[settings.explorationMode](option, estimates, input, settings);
