/** Filters the upstreams that a request may go to, by the state of the service's roll-out. */
import { getAffinityWeight, hashAffinityKey, type RolloutPosition } from '@snipehaven/policy';
import type { RequestOptions, RolloutState } from '../types.js';
import type { UpstreamEntry } from '../upstreams/index.js';

export interface VersionQuery {
  readonly state: RolloutState;
  readonly toVersion: string;
  /** The version that served before the order; undefined where that is not known. */
  readonly fromVersion: string | undefined;
  readonly place: RolloutPosition;
  /** The version that the request's session last ran on at this daemon. */
  readonly ranOn: string | undefined;
  readonly options: RequestOptions;
  /**
   * Whether ready upstreams of `toVersion` are in evacuated data centres; false unless the session last ran
   * on `toVersion`.
   */
  readonly hasEvacuatedUpstreams: boolean;
}

const HASH_RANGE = 2 ** 32;
const SHARE_SALT = 'rollout';

const listOfVersion = (
  entries: readonly UpstreamEntry[],
  version: string | undefined,
): UpstreamEntry[] => entries.filter(({ upstream }) => upstream.softwareVersion === version);

const orIfEmpty = (
  wanted: UpstreamEntry[],
  other: readonly UpstreamEntry[],
): readonly UpstreamEntry[] => (wanted.length > 0 ? wanted : other);

/** Upstreams of several older versions may be listed, such as one that missed the last roll-out. */
const listCurrentVersion = (
  { toVersion, fromVersion, ranOn }: VersionQuery,
  entries: readonly UpstreamEntry[],
): readonly UpstreamEntry[] => {
  const present = entries.filter(({ upstream }) => upstream.softwareVersion !== toVersion);
  return orIfEmpty(listOfVersion(present, fromVersion ?? ranOn), present);
};

/** Whether a request belongs to the share that goes to the new version. */
export const isAssignedToNewVersion = ({
  toVersion,
  place,
  ranOn,
  options,
}: VersionQuery): boolean => {
  const { session, attemptId } = options;
  const share = session === undefined ? place.newShare : place.sessionShare;
  const weight = getAffinityWeight(hashAffinityKey(session ?? attemptId), SHARE_SALT);
  return ranOn === toVersion || weight / HASH_RANGE < share;
};

/**
 * Whether, during a running roll-out, the session last ran on the new version and all ready upstreams of that
 * version are in evacuated data centres. Requests are then refused so that the session does not fall back to
 * the old version.
 */
export const isSessionVersionEvacuated = (
  { state, toVersion, ranOn, hasEvacuatedUpstreams }: VersionQuery,
  entries: readonly UpstreamEntry[],
): boolean =>
  state === 'running' &&
  ranOn === toVersion &&
  hasEvacuatedUpstreams &&
  listOfVersion(entries, toVersion).length === 0;

type VersionFilter = (
  query: VersionQuery,
  entries: readonly UpstreamEntry[],
) => readonly UpstreamEntry[];

const filterByState: Readonly<Record<RolloutState, VersionFilter>> = {
  // Upstreams of the old version are stopped at once after completion; those still listed are
  // leaving.
  completed: ({ toVersion }, entries) => orIfEmpty(listOfVersion(entries, toVersion), entries),
  rolledBack: listCurrentVersion,
  running: (query, entries) => {
    if (isSessionVersionEvacuated(query, entries)) {
      return [];
    }
    const present = listCurrentVersion(query, entries);
    return isAssignedToNewVersion(query)
      ? orIfEmpty(listOfVersion(entries, query.toVersion), present)
      : present;
  },
};

export const filterByVersion: VersionFilter = (query, entries) =>
  filterByState[query.state](query, entries);
