/** One request of a played fleet, with what only the play knows: how hard it is. */
import type { Random } from '@snipehaven/common';
import { drawIndex, drawLogNormal } from '../policy/world/sampling.js';
import type { FleetPlan, RequestKind } from './types.js';

/** How far a model's opinion of its answer strays from what is so. */
const CONFIDENCE_SPREAD = 0.25;
const TOKEN_SIGMA = 0.6;

export interface PlayedRequest {
  readonly kind: RequestKind;
  readonly subject: string;
  readonly ownTokens: number;
  readonly outputTokens: number;
  /** Models whose quality is above it answer well. */
  readonly hardness: number;
  readonly confidence: number;
  readonly atMs: number;
}

export const drawRequest = (plan: FleetPlan, atMs: number, random: Random): PlayedRequest => {
  const kind = plan.kinds[
    drawIndex(
      plan.kinds.map(({ perS }) => perS),
      random,
    )
  ] as RequestKind;
  const hardness = random.next();
  const smallest = plan.models[0]?.quality ?? 1;
  const stray = (random.next() + random.next() - 1) * CONFIDENCE_SPREAD * 2;
  const size = drawLogNormal(1, TOKEN_SIGMA, random);
  return {
    kind,
    subject: `${kind.name}-${random.nextInt(plan.subjects)}`,
    ownTokens: Math.round(kind.ownTokens * size),
    outputTokens: Math.max(1, Math.round(kind.outputTokens * size)),
    hardness,
    confidence: 100 * Math.min(1, Math.max(0, 0.5 + (smallest - hardness) + stray)),
    atMs,
  };
};
