/**
 * Wire format of a suspect: the request's digest, 1 for strong and 0 for weak suspicion, and the id
 * of the caller's attempt.
 */
import { asId, type RequestDigest } from '@snipehaven/common';
import type { Suspect, Suspicion } from './types.js';

export type SuspectTuple = readonly [digest: string, mark: 0 | 1, attemptId: string];

const marks: Readonly<Record<Suspicion, 0 | 1>> = { strong: 1, weak: 0 };

export const toSuspectTuple = ({ digest, suspicion, attemptId }: Suspect): SuspectTuple => [
  digest,
  marks[suspicion],
  attemptId,
];

export const fromSuspectTuple = ([digest, mark, attemptId]: SuspectTuple): Suspect => ({
  digest: asId<RequestDigest>(digest),
  attemptId,
  suspicion: mark === marks.strong ? 'strong' : 'weak',
});
