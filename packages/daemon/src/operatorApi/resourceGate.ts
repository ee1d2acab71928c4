/** Reads and writes resources, with their status and with lost races told in full. */
import { SnipehavenError } from '@snipehaven/common';
import type { ApplyOptions, RemoveOptions } from '@snipehaven/configuration';
import type { Kind, Resource, ResourceManifest } from '@snipehaven/resources';
import { diffValues } from './diffValues.js';
import { OperatorApiError } from './errors.js';
import { toResourceReply } from './resourceStatus.js';
import type { OperatorDependencies, ResourceReply } from './types.js';

/** The resource that a conflict error of the configuration carries; undefined: there is none. */
const getPresentResource = (error: SnipehavenError): Resource | undefined =>
  (error as SnipehavenError & { readonly present?: Resource }).present;

/** Turns a lost race into 409 with what is present and where it differs from what was sent. */
const rethrowConflict = (error: unknown, spec: unknown): never => {
  if (!(error instanceof SnipehavenError) || error.code !== 'configuration_conflict') {
    throw error;
  }
  const present = getPresentResource(error);
  const differences = spec === undefined ? [] : diffValues(present?.spec, spec, 'spec');
  throw new OperatorApiError('conflict', error.message, { present: present ?? null, differences });
};

/** All resources of a kind. */
export const listReplies = (
  dependencies: OperatorDependencies,
  kind: Kind,
): readonly ResourceReply[] =>
  dependencies.configuration
    .getView()
    .list(kind)
    .map((resource) => toResourceReply(resource, dependencies));

/** One resource; undefined: there is none. */
export const findReply = (
  dependencies: OperatorDependencies,
  kind: Kind,
  name: string,
): ResourceReply | undefined => {
  const resource = dependencies.configuration.getView().get(kind, name);
  return resource && toResourceReply(resource, dependencies);
};

/** Writes a resource; throws `conflict` where another operator was first. */
export const applyManifest = async (
  dependencies: OperatorDependencies,
  manifest: ResourceManifest,
  options: ApplyOptions,
): Promise<ResourceReply> => {
  const resource = await dependencies.configuration
    .apply(manifest, options)
    .catch((error: unknown) => rethrowConflict(error, manifest.spec));
  return toResourceReply(resource, dependencies);
};

/** Deletes a resource; throws `conflict` where another operator was first. */
export const removeByName = async (
  dependencies: OperatorDependencies,
  kind: Kind,
  name: string,
  options: RemoveOptions,
): Promise<void> => {
  await dependencies.configuration
    .remove(kind, name, options)
    .catch((error: unknown) => rethrowConflict(error, undefined));
};
