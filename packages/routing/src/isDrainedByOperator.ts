import type { SafeMoves } from '@snipehaven/configuration';

interface UpstreamLocation {
  readonly id: string;
  readonly spec: { readonly dataCentre: string };
}

/**
 * Whether operators have stopped new work for the upstream: by draining it, or by evacuating its
 * data centre.
 */
export const isDrainedByOperator = (
  safeMoves: Pick<SafeMoves, 'isActive'>,
  { id, spec }: UpstreamLocation,
): boolean => safeMoves.isActive('drain', id) || safeMoves.isActive('evacuate', spec.dataCentre);
