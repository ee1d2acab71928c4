/** Validates references between resources against the configuration that a write is based on. */
import { getModelOfVersion, asId, type VersionId } from '@snipehaven/common';
import {
  ResourceInvalidError,
  type ConfigurationView,
  type Kind,
  type ResourceManifest,
  type RolloutSpec,
  type Spec,
  type TeamSpec,
  type UpstreamSpec,
  type ValidationIssue,
} from '@snipehaven/resources';

type ReferenceRule<K extends Kind> = (
  spec: Spec<K>,
  name: string,
  view: ConfigurationView,
) => readonly ValidationIssue[];

type RolloutVersionField = 'stableVersion' | 'candidateVersion';

const checkRolloutVersion = (
  field: RolloutVersionField,
  spec: RolloutSpec,
  view: ConfigurationView,
): readonly ValidationIssue[] => {
  const path = `spec.${field}`;
  const version = spec[field];
  if (getModelOfVersion(asId<VersionId>(version)) !== spec.model) {
    return [{ path, rule: `${version} is no version of model ${spec.model}` }];
  }
  return view.get('ModelVersion', version)
    ? []
    : [{ path, rule: `ModelVersion ${version} does not exist` }];
};

const checkStages = ({ stages }: RolloutSpec): readonly ValidationIssue[] =>
  stages.flatMap(({ sharePct }, index) =>
    index > 0 && sharePct <= (stages[index - 1]?.sharePct ?? 0)
      ? [{ path: `spec.stages.${index}.sharePct`, rule: 'must be above the stage before' }]
      : [],
  );

const checkRollout: ReferenceRule<'Rollout'> = (spec, _name, view) => [
  ...checkRolloutVersion('stableVersion', spec, view),
  ...checkRolloutVersion('candidateVersion', spec, view),
  ...(spec.stableVersion === spec.candidateVersion
    ? [{ path: 'spec.candidateVersion', rule: 'must differ from spec.stableVersion' }]
    : []),
  ...checkStages(spec),
];

/** A key shared by two teams would bill calls of one team to the other. */
const checkTeam: ReferenceRule<'Team'> = (spec: TeamSpec, name, view) =>
  spec.keys.flatMap(({ sha256 }, index) =>
    view
      .list('Team')
      .filter((team) => team.metadata.name !== name)
      .filter((team) => team.spec.keys.some((key) => key.sha256 === sha256))
      .map((team) => ({
        path: `spec.keys.${index}.sha256`,
        rule: `belongs to Team ${team.metadata.name} already`,
      })),
  );

const checkUpstream: ReferenceRule<'Upstream'> = (spec: UpstreamSpec) =>
  spec.type === 'service' && spec.service === undefined
    ? [{ path: 'spec.service', rule: 'must be named for an upstream of type service' }]
    : [];

const acceptAll = (): readonly ValidationIssue[] => [];

const referenceRules: { readonly [K in Kind]: ReferenceRule<K> } = {
  Team: checkTeam,
  Model: acceptAll,
  ModelVersion: acceptAll,
  Upstream: checkUpstream,
  Service: acceptAll,
  Rollout: checkRollout,
  Withdrawal: acceptAll,
};

/** Throws ResourceInvalidError with the path and rule of each invalid reference. */
export const checkReferences = (manifest: ResourceManifest, view: ConfigurationView): void => {
  const { kind, name, spec } = manifest;
  const check = referenceRules[kind] as ReferenceRule<Kind>;
  const issues = check(spec, name, view);
  if (issues.length > 0) {
    throw new ResourceInvalidError(`${kind} ${name}`, issues);
  }
};

/** Throws ResourceInvalidError if another resource refers to the one to delete. */
export const checkNotReferenced = (kind: Kind, name: string, view: ConfigurationView): void => {
  if (kind !== 'ModelVersion') {
    return;
  }
  const issues = view
    .list('Rollout')
    .filter(({ spec }) => spec.stableVersion === name || spec.candidateVersion === name)
    .map(({ metadata }) => ({
      path: 'metadata.name',
      rule: `is in use by Rollout ${metadata.name}`,
    }));
  if (issues.length > 0) {
    throw new ResourceInvalidError(`${kind} ${name}`, issues);
  }
};
