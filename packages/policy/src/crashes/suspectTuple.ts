/**
 * A suspect as daemons send it: the request, 1 where much speaks against it and 0 where little does, and the
 * caller's attempt.
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
