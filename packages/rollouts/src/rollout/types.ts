/** What daemons tell each other about roll-outs. */
import type { ExposureGrant } from '@snipehaven/policy';

/** What a daemon may expose; the higher fence and then the higher plan number count. */
export interface GrantMessage extends Omit<ExposureGrant, 'incarnation'> {
  readonly incarnation: string;
  readonly plan: number;
}

/** What a daemon has exposed; totals that only grow. */
export interface ExposureMessage {
  readonly rolloutId: string;
  readonly incarnation: string;
  readonly grantedCount: number;
  readonly exposedCount: number;
  readonly judgedCount: number;
}
