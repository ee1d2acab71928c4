/** Names of evidence cells as strings, for maps and messages. */
import { asId, type TeamId, type VersionId } from '@snipehaven/common';
import type { EvidenceKey } from '@snipehaven/policy';
import type { EvidenceSubject } from '../types.js';

const SEPARATOR = '|';
const PART_COUNT = 4;

/** What the cell of a subject is about. */
export const toEvidenceKey = (subject: EvidenceSubject): EvidenceKey => ({
  team: asId<TeamId>(subject.team),
  task: subject.task,
  version: subject.version,
  position: subject.isEscalated ? 'escalated' : 'direct',
});

/** Names of resources and tasks hold no separator, so the text is unique. */
export const formatCellKey = (key: EvidenceKey): string =>
  [key.team, key.task, key.version, key.position === 'escalated' ? 'e' : 'd'].join(SEPARATOR);

/** Undefined for a text that is no cell's name. */
export const parseCellKey = (text: string): EvidenceKey | undefined => {
  const parts = text.split(SEPARATOR);
  const [team, task, version, position] = parts;
  if (parts.length !== PART_COUNT || !team || !task || !version?.includes('@')) {
    return undefined;
  }
  return {
    team: asId<TeamId>(team),
    task,
    version: asId<VersionId>(version),
    position: position === 'e' ? 'escalated' : 'direct',
  };
};
