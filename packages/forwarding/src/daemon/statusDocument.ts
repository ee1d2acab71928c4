/** Rows that daemons write for each other and for the operator. */
import type { HoldRecord } from '../crashes/index.js';
import type { Peer } from '../peers/index.js';
import type { RolloutEvidence, RolloutStatus } from '../rollouts/index.js';

export type StatusDocument =
  | { readonly kind: 'rollout'; readonly status: RolloutStatus }
  | { readonly kind: 'evidence'; readonly evidence: RolloutEvidence }
  | { readonly kind: 'hold'; readonly hold: HoldRecord }
  | { readonly kind: 'peer'; readonly peer: Peer };
