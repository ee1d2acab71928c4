/** Which upstreams a request may go to, by where the roll-out of their service stands. */
import { getAffinityWeight, hashAffinityKey, type RolloutPlace } from '@snipehaven/policy';
import type { RequestOptions, RolloutState } from '../types.js';
import type { UpstreamEntry } from '../upstreams/index.js';

export interface VersionQuestion {
  readonly state: RolloutState;
  readonly toVersion: string;
  /** The version that served before the order; undefined where that is not known. */
  readonly fromVersion: string | undefined;
  readonly place: RolloutPlace;
  /** The version that the request's session last ran on here. */
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

const listOf = (entries: readonly UpstreamEntry[], version: string | undefined): UpstreamEntry[] =>
  entries.filter(({ upstream }) => upstream.softwareVersion === version);

const orOther = (
  wanted: UpstreamEntry[],
  other: readonly UpstreamEntry[],
): readonly UpstreamEntry[] => (wanted.length > 0 ? wanted : other);

/** Upstreams of several versions may be listed, such as a straggler that missed the last roll-out. */
const listPresent = (
  { toVersion, fromVersion, ranOn }: VersionQuestion,
  entries: readonly UpstreamEntry[],
): readonly UpstreamEntry[] => {
  const present = entries.filter(({ upstream }) => upstream.softwareVersion !== toVersion);
  return orOther(listOf(present, fromVersion ?? ranOn), present);
};

const isMoved = ({ toVersion, place, ranOn, options }: VersionQuestion): boolean => {
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
  { state, toVersion, ranOn, hasEvacuatedUpstreams }: VersionQuestion,
  entries: readonly UpstreamEntry[],
): boolean =>
  state === 'running' &&
  ranOn === toVersion &&
  hasEvacuatedUpstreams &&
  listOf(entries, toVersion).length === 0;

type Narrow = (
  question: VersionQuestion,
  entries: readonly UpstreamEntry[],
) => readonly UpstreamEntry[];

const narrowByState: Readonly<Record<RolloutState, Narrow>> = {
  // The old version's upstreams are stopped at once; those still listed are going.
  completed: ({ toVersion }, entries) => orOther(listOf(entries, toVersion), entries),
  rolledBack: listPresent,
  running: (question, entries) => {
    if (isSessionVersionEvacuated(question, entries)) {
      return [];
    }
    const present = listPresent(question, entries);
    return isMoved(question) ? orOther(listOf(entries, question.toVersion), present) : present;
  },
};

export const narrowToVersion: Narrow = (question, entries) =>
  narrowByState[question.state](question, entries);
