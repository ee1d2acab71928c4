/** Resources and configuration views for tests. */
import {
  restoreSpec,
  type ConfigurationView,
  type Kind,
  type Resource,
} from '@snipehaven/resources';

/** Creates a resource with the defaults of its kind. */
export const createResource = <K extends Kind>(
  kind: K,
  name: string,
  spec: object,
): Resource<K> => ({
  kind,
  metadata: {
    name,
    uid: `uid-${name}`,
    resourceVersion: 1,
    generation: 1,
    createdAtMs: 0,
    updatedAtMs: 0,
  },
  spec: restoreSpec(kind, name, spec),
});

export const createView = (resources: readonly Resource[]): ConfigurationView => {
  const list = <K extends Kind>(kind: K): readonly Resource<K>[] =>
    resources.filter((resource) => resource.kind === kind) as unknown as readonly Resource<K>[];
  return {
    revision: 1,
    list,
    get: (kind, name) => list(kind).find(({ metadata }) => metadata.name === name),
  };
};

/**
 * Creates engines that serve the versions, from a map of name to data centre, at 127.0.0.1,
 * 127.0.0.2 and so on.
 */
export const createUpstreams = (
  dataCentres: Readonly<Record<string, string>>,
  versions: readonly string[] = ['small@1'],
): readonly Resource<'Upstream'>[] =>
  Object.entries(dataCentres).map(([name, dataCentre], index) => {
    const url = `http://127.0.0.${index + 1}:1`;
    return createResource('Upstream', name, { dataCentre, type: 'engine', url, versions });
  });

/** Creates a team that may use all versions of `small` and the first version of `large`. */
export const createTeam = (spec: object = {}): Resource<'Team'> =>
  createResource('Team', 'alpha', {
    keys: [{ name: 'main', sha256: '0'.repeat(64) }],
    allowedVersions: ['small@*', 'large@1'],
    qualityTarget: 0.5,
    ...spec,
  });

/** Creates a version with the same price per input and output token and a prior quality. */
export const createVersion = (
  name: string,
  costMicroUsdPerToken: number,
  priorQuality: number,
): Resource<'ModelVersion'> =>
  createResource('ModelVersion', name, {
    inputMicroUsdPerMillionTokens: costMicroUsdPerToken * 1_000_000,
    outputMicroUsdPerMillionTokens: costMicroUsdPerToken * 1_000_000,
    priorQuality,
    priorWeight: 1_000,
  });
