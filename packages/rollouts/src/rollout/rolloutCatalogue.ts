/** Declared roll-outs, converted for the roll-out logic. */
import { createHash } from 'node:crypto';
import { asId, type VersionId } from '@snipehaven/common';
import type { ConfigurationStore } from '@snipehaven/configuration';
import type { RolloutDefinition } from '@snipehaven/policy';
import type { Resource } from '@snipehaven/resources';

export interface DeclaredRollout {
  readonly name: string;
  readonly model: string;
  readonly definition: RolloutDefinition;
}

const ID_DIGEST_LENGTH = 10;

/** Short because it is part of every report. */
const createRolloutId = (name: string, parts: readonly string[]): string => {
  const digest = createHash('sha256').update(parts.join('\n')).digest('base64url');
  return `${name}/${digest.slice(0, ID_DIGEST_LENGTH)}`;
};

/**
 * Pausing a roll-out or changing its stages or budget continues the same roll-out. A different pair
 * of versions, or a recreated resource, is a new roll-out that starts at the first stage.
 */
const toDeclared = ({ metadata, spec }: Resource<'Rollout'>): DeclaredRollout => ({
  name: metadata.name,
  model: spec.model,
  definition: {
    rolloutId: createRolloutId(metadata.name, [
      metadata.uid,
      spec.stableVersion,
      spec.candidateVersion,
    ]),
    stableVersion: asId<VersionId>(spec.stableVersion),
    candidateVersion: asId<VersionId>(spec.candidateVersion),
    stages: spec.stages,
    exposureBudget: spec.exposureBudget,
    maxFailureIncreasePct: spec.maxFailureIncreasePct,
    isPaused: spec.isPaused,
  },
});

export class RolloutCatalogue {
  readonly #configuration: Pick<ConfigurationStore, 'getView'>;

  #revision = -1;

  #declared: readonly DeclaredRollout[] = [];

  constructor(configuration: Pick<ConfigurationStore, 'getView'>) {
    this.#configuration = configuration;
  }

  list(): readonly DeclaredRollout[] {
    const view = this.#configuration.getView();
    if (view.revision !== this.#revision) {
      this.#declared = view.list('Rollout').map(toDeclared);
      this.#revision = view.revision;
    }
    return this.#declared;
  }

  findByModel(model: string): DeclaredRollout | undefined {
    return this.list().find((declared) => declared.model === model);
  }

  findByCandidate(version: string): DeclaredRollout | undefined {
    return this.list().find(({ definition }) => definition.candidateVersion === version);
  }
}
