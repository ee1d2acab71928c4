/** What the system observes of a resource: how far it is in force, and whether that is certain. */
import type { ConfigurationStatus, InForceStatus, SafeMoveStatus } from '@snipehaven/configuration';
import type { Kind, Resource } from '@snipehaven/resources';
import type { Condition, OperatorDependencies, ResourceReply, ResourceStatus } from './types.js';

const toConditionStatus = (isTrue: boolean): Condition['status'] => (isTrue ? 'true' : 'false');

/**
 * How far one revision is in force. Members report only the newest revision that they applied, so
 * for an older one the counts are lower bounds until all have passed it.
 */
export const getInForce = (revision: number, status: ConfigurationStatus): InForceStatus => {
  const { inForce } = status;
  if (inForce.minRevision >= revision) {
    return { ...inForce, revision, appliedDaemons: inForce.totalDaemons, behind: [] };
  }
  const isKnown = inForce.revision >= revision;
  return { ...inForce, revision, appliedDaemons: isKnown ? inForce.appliedDaemons : 0 };
};

/** The InForce condition of one revision. */
export const getInForceCondition = (inForce: InForceStatus): Condition => {
  const { appliedDaemons, totalDaemons, revision, behind } = inForce;
  const isEverywhere = totalDaemons > 0 && appliedDaemons === totalDaemons;
  const counts = `${appliedDaemons}/${totalDaemons} at revision ${revision}`;
  const message = behind.length === 0 ? counts : `${counts}; behind: ${behind.join(', ')}`;
  return { type: 'InForce', status: toConditionStatus(isEverywhere), message };
};

/** The Fresh condition: false while this daemon may have missed changes. */
export const getFreshCondition = (status: ConfigurationStatus): Condition => ({
  type: 'Fresh',
  status: toConditionStatus(!status.isStale),
  message: status.isStale
    ? `stale: no contact; serving revision ${status.revision}, heard of ${status.headRevision}`
    : `revision ${status.revision} of ${status.headRevision}`,
});

const getRevisionStatus = (
  { metadata }: Resource,
  { configuration }: OperatorDependencies,
): ResourceStatus => {
  const status = configuration.getStatus();
  const inForce = getInForce(metadata.resourceVersion, status);
  const conditions = [getInForceCondition(inForce), getFreshCondition(status)];
  return { observedGeneration: metadata.generation, conditions, inForce };
};

const getDurableCondition = ({ durability, move }: SafeMoveStatus): Condition => ({
  type: 'Durable',
  status: toConditionStatus(durability === 'durable'),
  message:
    durability === 'durable'
      ? `written to the table; by ${move.by}`
      : `in force here and spreading, not in the table yet; by ${move.by}`,
});

/** A mark has no revision: its status tells whether it outlives the daemons that hold it. */
const getMarkStatus = (
  { metadata }: Resource,
  { safeMoves }: OperatorDependencies,
): ResourceStatus => {
  const mark = safeMoves.list().find(({ move }) => move.key === `withdraw/${metadata.name}`);
  return {
    observedGeneration: metadata.generation,
    conditions: mark === undefined ? [] : [getDurableCondition(mark)],
    ...(mark === undefined ? {} : { durability: mark.durability }),
  };
};

type StatusReader = (resource: Resource, dependencies: OperatorDependencies) => ResourceStatus;

const statusReaders: Readonly<Record<Kind, StatusReader>> = {
  Team: getRevisionStatus,
  Model: getRevisionStatus,
  ModelVersion: getRevisionStatus,
  Upstream: getRevisionStatus,
  Service: getRevisionStatus,
  Rollout: getRevisionStatus,
  Withdrawal: getMarkStatus,
};

/** A resource with its status. */
export const toResourceReply = (
  resource: Resource,
  dependencies: OperatorDependencies,
): ResourceReply => ({
  ...resource,
  status: statusReaders[resource.kind](resource, dependencies),
});
