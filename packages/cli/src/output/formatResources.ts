/** Resources as tables and descriptions. */
import type { ApplyReply, ResourceReply } from '../api/schemas.js';
import type { Difference } from '../errors.js';
import { formatTable, toPrintable } from './formatTable.js';
import { formatTime } from './units.js';

const HEADINGS = ['KIND', 'NAME', 'VERSION', 'GENERATION', 'IN FORCE', 'UPDATED'];

/** How far a resource is in force, short. */
export const formatInForce = ({ status }: ResourceReply): string => {
  if (status.inForce === undefined) {
    return status.durability ?? 'unknown';
  }
  const { appliedDaemons, totalDaemons } = status.inForce;
  const isStale = status.conditions.some(
    ({ type, status: is }) => type === 'Fresh' && is === 'false',
  );
  return `${appliedDaemons}/${totalDaemons}${isStale ? ' stale' : ''}`;
};

const toRow = (resource: ResourceReply): readonly unknown[] => [
  resource.kind,
  resource.metadata.name,
  resource.metadata.resourceVersion,
  resource.metadata.generation,
  formatInForce(resource),
  formatTime(resource.metadata.updatedAtMs),
];

/** One row a resource. */
export const formatResources = (resources: readonly ResourceReply[]): string =>
  formatTable(HEADINGS, resources.map(toRow));

const formatConditions = (resource: ResourceReply): string =>
  formatTable(
    ['CONDITION', 'STATUS', 'MESSAGE'],
    resource.status.conditions.map(({ type, status, message }) => [type, status, message]),
  );

/** Everything about one resource. */
export const describeResource = (resource: ResourceReply): string => {
  const { metadata, status } = resource;
  const facts = [
    `${resource.kind} ${toPrintable(metadata.name)}`,
    `resourceVersion ${metadata.resourceVersion}, generation ${metadata.generation}, observed ${status.observedGeneration}`,
    `created ${formatTime(metadata.createdAtMs)}, updated ${formatTime(metadata.updatedAtMs)}`,
  ];
  const spec = JSON.stringify(resource.spec, null, 2);
  return `${facts.join('\n')}\n\n${formatConditions(resource)}\n${spec}\n`;
};

const formatValue = (value: unknown): string =>
  value === undefined ? '(absent)' : JSON.stringify(value);

/** One line a differing field. */
export const formatDifferences = (differences: readonly Difference[]): string =>
  differences
    .map(
      ({ path, present, sent }) => `  ${path}: ${formatValue(present)} -> ${formatValue(sent)}\n`,
    )
    .join('');

/** What an apply did, or would do. */
export const formatApply = (reply: ApplyReply): string => {
  const { kind, metadata } = reply.resource;
  const note = reply.isDryRun ? ' (dry run)' : ` at resourceVersion ${metadata.resourceVersion}`;
  const head = `${kind} ${toPrintable(metadata.name)} ${reply.action}${note}\n`;
  return reply.action === 'changed' ? `${head}${formatDifferences(reply.differences)}` : head;
};
