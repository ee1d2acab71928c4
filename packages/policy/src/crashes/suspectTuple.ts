/** A suspect as daemons send it: the request, and 1 where much speaks against it, 0 where little does. */
import { asId, type RequestDigest } from '@snipehaven/common';
import type { Suspect, Suspicion } from './types.js';

export type SuspectTuple = readonly [digest: string, mark: 0 | 1];

const marks: Readonly<Record<Suspicion, 0 | 1>> = { strong: 1, weak: 0 };

export const toSuspectTuple = ({ digest, suspicion }: Suspect): SuspectTuple => [
  digest,
  marks[suspicion],
];

export const fromSuspectTuple = ([digest, mark]: SuspectTuple): Suspect => ({
  digest: asId<RequestDigest>(digest),
  suspicion: mark === marks.strong ? 'strong' : 'weak',
});
