/** Drives one roll-out while holding its lease. All state changes are conditional writes. */
import type { Logger } from '@snipehaven/common';
import type { SafeMoves } from '@snipehaven/configuration';
import type { Lease, LeaseKeeper, MembershipView } from '@snipehaven/membership';
import {
  applyVerdict,
  resumeProgress,
  startProgress,
  type GuardResult,
  type RolloutProgress,
  type RolloutSettings,
} from '@snipehaven/policy';
import type { TimelineRecorder } from '@snipehaven/timeline';
import { LEASE_DURATION_MS, LEASE_RENEW_MS, TAKEOVER_SETTLE_MS } from '../constants.js';
import { GrantPlanner } from './grantPlanner.js';
import type { GuardEvaluator } from './guardEvaluator.js';
import type { DeclaredRollout } from './rolloutCatalogue.js';
import { getLeaseName, type RolloutRows } from './rolloutRows.js';
import type { RolloutStates } from './rolloutStates.js';

export interface RolloutLeaseHolderOptions {
  readonly leases: LeaseKeeper;
  readonly rows: RolloutRows;
  readonly states: RolloutStates;
  readonly guard: GuardEvaluator;
  readonly safeMoves: Pick<SafeMoves, 'isActive' | 'isVersionBlocked'>;
  readonly membership: MembershipView;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly isRaterUp: () => boolean;
  readonly settings: RolloutSettings;
}

/** Roll-out state as last read or written under the current lease. */
interface HeldRollout {
  readonly lease: Lease;
  readonly progress: RolloutProgress;
  readonly rowVersion: number;
  readonly sinceMs: number;
}

export class RolloutLeaseHolder {
  readonly #options: RolloutLeaseHolderOptions;

  readonly #planner: GrantPlanner;

  #held: HeldRollout | undefined;

  #leaseRequestedAtMs = -Infinity;

  #lease: Lease | undefined;

  constructor(options: RolloutLeaseHolderOptions) {
    this.#options = options;
    this.#planner = new GrantPlanner(options.states, options.membership, options.settings);
  }

  isHolding(): boolean {
    return this.#held?.lease.isHeld() === true;
  }

  /** Renews the lease, evaluates the guard and issues grants; throws the errors of the platform. */
  async step(declared: DeclaredRollout): Promise<void> {
    const lease = await this.#renewLease(declared.name);
    if (lease === undefined) {
      this.#held = undefined;
      return;
    }
    const { rolloutId } = declared.definition;
    if (this.#held?.lease !== lease || this.#held.progress.rolloutId !== rolloutId) {
      await this.#takeOver(declared, lease);
    }
    await this.#applyGuard(declared);
    this.#issueGrants(declared);
  }

  /**
   * Releases the lease, because the duty moved to another daemon or the roll-out is no longer
   * declared.
   */
  async releaseLease(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    this.#held = undefined;
    await lease?.release();
  }

  async #renewLease(name: string): Promise<Lease | undefined> {
    const nowMs = Date.now();
    const isDue = Math.abs(nowMs - this.#leaseRequestedAtMs) >= LEASE_RENEW_MS;
    if (isDue || this.#lease?.isHeld() === false) {
      this.#leaseRequestedAtMs = nowMs;
      this.#lease = await this.#options.leases.acquire(getLeaseName(name), LEASE_DURATION_MS);
    }
    return this.#lease?.isHeld() ? this.#lease : undefined;
  }

  /** Resumes the stored state under the fence of this lease, or starts the roll-out. */
  async #takeOver({ name, definition }: DeclaredRollout, lease: Lease): Promise<void> {
    this.#held = undefined;
    const stored = await this.#options.rows.read(name);
    const isSame = stored.progress?.rolloutId === definition.rolloutId;
    const progress =
      isSame && stored.progress !== undefined
        ? resumeProgress(stored.progress, lease.fence)
        : startProgress(definition, lease.fence, Date.now(), this.#options.settings);
    if (progress === undefined) {
      return;
    }
    const { version } = stored;
    const held = { lease, progress, rowVersion: version, sinceMs: Date.now() };
    if (isSame && stored.progress?.fence === progress.fence) {
      this.#held = held;
      this.#options.states.mergeProgress(progress);
      return;
    }
    const promoted = isSame ? {} : { promotedVersion: definition.candidateVersion };
    await this.#write(name, held, progress, promoted);
  }

  async #applyGuard({ name, definition }: DeclaredRollout): Promise<void> {
    const held = this.#held;
    if (held === undefined || held.progress.phase === 'quarantined') {
      return;
    }
    const { safeMoves, guard } = this.#options;
    const { candidateVersion } = definition;
    const result = guard.evaluate(definition, held.progress);
    const isQuarantined = safeMoves.isActive('quarantine', candidateVersion);
    const verdict = isQuarantined ? 'quarantine' : this.#restrictVerdict(result, candidateVersion);
    const next = applyVerdict(definition, held.progress, { ...result, verdict }, Date.now());
    if (next === held.progress) {
      return;
    }
    const isAdvance = verdict === 'advance';
    const promoted = isAdvance ? { promotedVersion: candidateVersion } : {};
    if (await this.#write(name, held, next, promoted)) {
      this.#recordTransition(name, candidateVersion, next, result);
    }
  }

  /**
   * Missing evidence and safe moves take precedence over progress: stages are not advanced while
   * the rater is down or the version is withdrawn or quarantined.
   */
  #restrictVerdict(result: GuardResult, candidateVersion: string): GuardResult['verdict'] {
    const { safeMoves, isRaterUp } = this.#options;
    const mayAdvance = isRaterUp() && !safeMoves.isVersionBlocked(candidateVersion);
    return result.verdict === 'advance' && !mayAdvance ? 'continue' : result.verdict;
  }

  /**
   * Returns whether the table accepted the write. A refused write means that another daemon has
   * taken over the roll-out, so the held state is dropped.
   */
  async #write(
    name: string,
    held: HeldRollout,
    progress: RolloutProgress,
    promoted: { readonly promotedVersion?: string },
  ): Promise<boolean> {
    const { rows, states } = this.#options;
    if (!held.lease.isHeld()) {
      this.#held = undefined;
      return false;
    }
    const result = await rows.write({ name, progress, version: held.rowVersion, ...promoted });
    if (result.kind === 'refused') {
      this.#held = undefined;
      return false;
    }
    this.#held = { ...held, progress, rowVersion: result.version };
    states.mergeProgress(progress);
    return true;
  }

  #issueGrants({ definition }: DeclaredRollout): void {
    const held = this.#held;
    const { safeMoves, guard, isRaterUp } = this.#options;
    const isSettled = held !== undefined && Date.now() - held.sinceMs >= TAKEOVER_SETTLE_MS;
    if (!isSettled || !held.lease.isHeld()) {
      return;
    }
    if (!safeMoves.isVersionBlocked(definition.candidateVersion)) {
      const { progress } = held;
      const { ratingCount } = guard.evaluate(definition, progress);
      this.#planner.plan({ definition, progress, ratingCount, isRaterUp: isRaterUp() });
    }
  }

  #recordTransition(
    name: string,
    version: string,
    next: RolloutProgress,
    result: GuardResult,
  ): void {
    const type = next.phase === 'quarantined' ? 'rolloutHalted' : 'rolloutAdvanced';
    const { phase, stage, fence } = next;
    const detail = { rollout: name, phase, stage, fence, ratings: result.ratingCount };
    this.#options.timeline.record(type, { version }, detail);
    this.#options.logger.info({ version, ...detail }, type);
  }
}
