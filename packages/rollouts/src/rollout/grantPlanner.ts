/** Plans the exposure grants of all daemons from their reports. */
import { asId, type IncarnationId } from '@snipehaven/common';
import type { MembershipView } from '@snipehaven/membership';
import {
  planGrants,
  type DaemonExposure,
  type RolloutDefinition,
  type RolloutProgress,
  type RolloutSettings,
} from '@snipehaven/policy';
import { GRANT_RENEW_MS, RETIRE_DEAD_DAEMON_AFTER_MS } from '../constants.js';
import type { RolloutStates } from './rolloutStates.js';
import type { GrantMessage } from './types.js';

export interface GrantPlanInput {
  readonly definition: RolloutDefinition;
  readonly progress: RolloutProgress;
  readonly ratingCount: number;
  readonly isRaterUp: boolean;
}

export class GrantPlanner {
  readonly #states: RolloutStates;

  readonly #membership: MembershipView;

  readonly #settings: RolloutSettings;

  /** Time at which each dead daemon was first found dead. */
  readonly #deadSinceMs = new Map<string, number>();

  #planNumber = 0;

  #renewedAtMs = -Infinity;

  constructor(states: RolloutStates, membership: MembershipView, settings: RolloutSettings) {
    this.#settings = settings;
    this.#states = states;
    this.#membership = membership;
  }

  /**
   * Recomputes the grants and puts changed or due ones into the shared state, which gossip
   * propagates.
   */
  plan(input: GrantPlanInput): void {
    const { definition, progress, ratingCount } = input;
    const daemons = this.#listDaemons(definition.rolloutId, input.isRaterUp);
    const grants = planGrants({
      definition,
      progress,
      daemons,
      ratingCount,
      settings: this.#settings,
    });
    const isDue = Date.now() - this.#renewedAtMs >= GRANT_RENEW_MS;
    const changed = grants.filter((grant) => isDue || this.#isChanged(grant));
    if (changed.length === 0) {
      return;
    }
    this.#planNumber += 1;
    changed.forEach((grant) => this.#states.mergeGrant({ ...grant, plan: this.#planNumber }));
    if (isDue) {
      this.#renewedAtMs = Date.now();
    }
  }

  #isChanged(grant: Omit<GrantMessage, 'plan'>): boolean {
    const known = this.#states.getGrantMessage(grant.rolloutId, grant.incarnation);
    return (
      known?.fence !== grant.fence ||
      known.grantedCount !== grant.grantedCount ||
      known.sharePct !== grant.sharePct
    );
  }

  #listDaemons(rolloutId: string, isRaterUp: boolean): readonly DaemonExposure[] {
    const states = this.#states;
    const incarnations = new Set([
      ...this.#membership.listAlive().map(({ incarnation }) => incarnation),
      ...states.listGrants(rolloutId).map(({ incarnation }) => incarnation),
      ...states.listExposures(rolloutId).map(({ incarnation }) => incarnation),
    ]);
    return [...incarnations].map((incarnation) =>
      this.#describeDaemon(rolloutId, incarnation, isRaterUp),
    );
  }

  /**
   * Unjudged answers of a dead daemon still count against the budget, since callers received them
   * and they may be bad. After `RETIRE_DEAD_DAEMON_AFTER_MS` they are written off: only that daemon
   * could have matched their ratings, so none will arrive.
   */
  #describeDaemon(rolloutId: string, incarnation: string, isRaterUp: boolean): DaemonExposure {
    const exposure = this.#states.getExposure(rolloutId, incarnation);
    const grant = this.#states.getGrantMessage(rolloutId, incarnation);
    const isLive = this.#membership.isIncarnationAlive(incarnation);
    const grantedCount = Math.max(exposure?.grantedCount ?? 0, grant?.grantedCount ?? 0);
    const exposedCount = exposure?.exposedCount ?? 0;
    const isRetired = isRaterUp && this.#isLongDead(incarnation, isLive);
    const judgedCount = isRetired
      ? Math.max(grantedCount, exposedCount)
      : (exposure?.judgedCount ?? 0);
    return {
      incarnation: asId<IncarnationId>(incarnation),
      isLive,
      grantedCount,
      exposedCount,
      judgedCount,
    };
  }

  #isLongDead(incarnation: string, isLive: boolean): boolean {
    if (isLive) {
      this.#deadSinceMs.delete(incarnation);
      return false;
    }
    const sinceMs = this.#deadSinceMs.get(incarnation) ?? Date.now();
    this.#deadSinceMs.set(incarnation, sinceMs);
    return Date.now() - sinceMs >= RETIRE_DEAD_DAEMON_AFTER_MS;
  }
}
