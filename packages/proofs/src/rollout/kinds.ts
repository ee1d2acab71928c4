/** Candidates that the proof rolls out: how they fail, and how the roll-out has to end. */

export interface CandidateKind {
  /** What the engines do with the candidate; absent for a good one. */
  readonly fault?: { readonly kind: 'gross' | 'slow' };
  readonly expectedPhase: 'quarantined' | 'finished';
}

export const candidateKinds = {
  gross: { fault: { kind: 'gross' }, expectedPhase: 'quarantined' },
  slow: { fault: { kind: 'slow' }, expectedPhase: 'quarantined' },
  good: { expectedPhase: 'finished' },
} as const satisfies Readonly<Record<string, CandidateKind>>;

export type CandidateKindName = keyof typeof candidateKinds;
