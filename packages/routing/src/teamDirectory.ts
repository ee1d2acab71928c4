/** Looks up the team of a caller's key and the versions that it may use. */
import { createHash, timingSafeEqual } from 'node:crypto';
import { getModelOfVersion, asId, type VersionId } from '@snipehaven/common';
import { ANY_VERSION, type ConfigurationView, type Resource } from '@snipehaven/resources';
import type { CallerIdentity } from './types.js';

const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');

const isSameDigest = (a: string, b: string): boolean =>
  timingSafeEqual(Buffer.from(a, 'hex'), Buffer.from(b, 'hex'));

export const isVersionAllowed = (team: Resource<'Team'>, version: string): boolean => {
  const model = getModelOfVersion(asId<VersionId>(version));
  return team.spec.allowedVersions.some(
    (allowed) => allowed === version || allowed === `${model}@${ANY_VERSION}`,
  );
};

/** The existing versions that the team may use. */
export const listAllowedVersions = (
  view: ConfigurationView,
  team: Resource<'Team'>,
): readonly Resource<'ModelVersion'>[] =>
  view.list('ModelVersion').filter((version) => isVersionAllowed(team, version.metadata.name));

export class TeamDirectory {
  #byDigest = new Map<string, CallerIdentity>();

  /** Applies a new configuration. */
  update(view: ConfigurationView): void {
    const entries = view
      .list('Team')
      .flatMap((team) =>
        team.spec.keys.map((key) => [key.sha256, { team, keyName: key.name }] as const),
      );
    this.#byDigest = new Map(entries);
  }

  /**
   * Returns the team of a key. Keys are looked up by digest, so that timing reveals nothing about a
   * key; the digests are nevertheless compared in constant time.
   */
  find(key: string): CallerIdentity | undefined {
    const digest = hashKey(key);
    const identity = this.#byDigest.get(digest);
    const matchingKey = identity?.team.spec.keys.find((entry) =>
      isSameDigest(entry.sha256, digest),
    );
    return matchingKey ? identity : undefined;
  }
}
