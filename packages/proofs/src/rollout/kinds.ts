/** Candidates that the proof rolls out: how they fail, and how the roll-out has to end. */

export interface CandidateKind {
  /** What the engines do with the candidate; absent for a good one. */
  readonly fault?: { readonly kind: 'gross' | 'slow' };
  readonly expectedPhase: 'quarantined' | 'finished';
  /** When the holder dies: with the first pairs of the shadow, or with the first answers to callers. */
  readonly killedIn: 'shadow' | 'stages';
}

export const candidateKinds = {
  gross: { fault: { kind: 'gross' }, expectedPhase: 'quarantined', killedIn: 'shadow' },
  slow: { fault: { kind: 'slow' }, expectedPhase: 'quarantined', killedIn: 'stages' },
  good: { expectedPhase: 'finished', killedIn: 'stages' },
} as const satisfies Readonly<Record<string, CandidateKind>>;

export type CandidateKindName = keyof typeof candidateKinds;
