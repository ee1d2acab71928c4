/** String keys of evidence cells, for maps and gossip messages. */
import { asId, type TeamId, type VersionId } from '@snipehaven/common';
import type { EvidenceKey } from '@snipehaven/policy';
import type { EvidenceSubject } from '../types.js';

const SEPARATOR = '|';
const PART_COUNT = 4;

/** The evidence key of a subject. */
export const toEvidenceKey = (subject: EvidenceSubject): EvidenceKey => ({
  team: asId<TeamId>(subject.team),
  task: subject.task,
  version: subject.version,
  position: subject.isEscalated ? 'escalated' : 'direct',
});

/** Unique because names of resources and tasks never contain the separator. */
export const formatCellKey = (key: EvidenceKey): string =>
  [key.team, key.task, key.version, key.position === 'escalated' ? 'e' : 'd'].join(SEPARATOR);

/** Returns undefined if the text is not a valid cell key. */
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
