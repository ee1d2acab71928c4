/** Roll-out state exchanged between daemons. */
import type { ExposureGrant } from '@snipehaven/policy';

/**
 * Exposure grant of one daemon. The one with the higher fence is valid, then the one with the
 * higher plan number.
 */
export interface GrantMessage extends Omit<ExposureGrant, 'incarnation'> {
  readonly incarnation: string;
  readonly plan: number;
}

/** Exposure report of one daemon; the counts are monotonic totals. */
export interface ExposureMessage {
  readonly rolloutId: string;
  readonly incarnation: string;
  readonly grantedCount: number;
  readonly exposedCount: number;
  readonly judgedCount: number;
}
