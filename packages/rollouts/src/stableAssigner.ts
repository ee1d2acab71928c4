/** Keeps every roll-out on its stable version. */
import { asId, type VersionId } from '@snipehaven/common';
import type { ConfigurationStore } from '@snipehaven/configuration';
import type { ModelAssignment, RolloutAssigner } from './types.js';

export class StableAssigner implements RolloutAssigner {
  readonly #configuration: ConfigurationStore;

  constructor(configuration: ConfigurationStore) {
    this.#configuration = configuration;
  }

  assign(model: string): ModelAssignment | undefined {
    const rollout = this.#configuration
      .getView()
      .list('Rollout')
      .find(({ spec }) => spec.model === model);
    if (rollout === undefined) {
      return undefined;
    }
    const stableVersion = asId<VersionId>(rollout.spec.stableVersion);
    const candidateVersion = asId<VersionId>(rollout.spec.candidateVersion);
    return {
      version: stableVersion,
      hidden: [candidateVersion],
      isCandidate: false,
      isGated: false,
      stableVersion,
      candidateVersion,
    };
  }
}
