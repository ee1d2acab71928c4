/** One roll-out as its holder drives it: under a lease, by conditional writes. */
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
import { LEASE_DURATION_MS, LEASE_RENEW_MS, SETTLE_MS } from '../constants.js';
import { GrantPlanner } from './grantPlanner.js';
import type { GuardWatch } from './guardWatch.js';
import type { DeclaredRollout } from './rolloutCatalogue.js';
import { getLeaseName, type RolloutRows } from './rolloutRows.js';
import type { RolloutStates } from './rolloutStates.js';

export interface RolloutHolderOptions {
  readonly leases: LeaseKeeper;
  readonly rows: RolloutRows;
  readonly states: RolloutStates;
  readonly guard: GuardWatch;
  readonly safeMoves: Pick<SafeMoves, 'isActive' | 'isVersionBlocked'>;
  readonly membership: MembershipView;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly isRaterUp: () => boolean;
  readonly settings: RolloutSettings;
}

/** The state as this holder last read or wrote it. */
interface Held {
  readonly lease: Lease;
  readonly progress: RolloutProgress;
  readonly rowVersion: number;
  readonly sinceMs: number;
}

export class RolloutHolder {
  readonly #options: RolloutHolderOptions;

  readonly #planner: GrantPlanner;

  #held: Held | undefined;

  #triedAtMs = -Infinity;

  #lease: Lease | undefined;

  constructor(options: RolloutHolderOptions) {
    this.#options = options;
    this.#planner = new GrantPlanner(options.states, options.membership, options.settings);
  }

  /** Whether this daemon drives the roll-out now. */
  isHolding(): boolean {
    return this.#held?.lease.isHeld() === true;
  }

  /** One step; throws the platform's errors. */
  async step(declared: DeclaredRollout): Promise<void> {
    const lease = await this.#keepLease(declared.name);
    if (lease === undefined) {
      this.#held = undefined;
      return;
    }
    const { rolloutId } = declared.definition;
    if (this.#held?.lease !== lease || this.#held.progress.rolloutId !== rolloutId) {
      await this.#adopt(declared, lease);
    }
    await this.#judge(declared);
    this.#grant(declared);
  }

  /** Gives the lease up, for the duty went to another or the roll-out is gone. */
  async leave(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    this.#held = undefined;
    await lease?.release();
  }

  async #keepLease(name: string): Promise<Lease | undefined> {
    const nowMs = Date.now();
    const isDue = Math.abs(nowMs - this.#triedAtMs) >= LEASE_RENEW_MS;
    if (isDue || this.#lease?.isHeld() === false) {
      this.#triedAtMs = nowMs;
      this.#lease = await this.#options.leases.acquire(getLeaseName(name), LEASE_DURATION_MS);
    }
    return this.#lease?.isHeld() ? this.#lease : undefined;
  }

  /** Goes on where the last holder stopped, under the own fence, or begins. */
  async #adopt({ name, definition }: DeclaredRollout, lease: Lease): Promise<void> {
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
    const raised = isSame ? {} : { raisedVersion: definition.candidateVersion };
    await this.#write(name, held, progress, raised);
  }

  async #judge({ name, definition }: DeclaredRollout): Promise<void> {
    const held = this.#held;
    if (held === undefined || held.progress.phase === 'quarantined') {
      return;
    }
    const { safeMoves, guard } = this.#options;
    const { candidateVersion } = definition;
    const result = guard.evaluate(definition, held.progress);
    const isQuarantined = safeMoves.isActive('quarantine', candidateVersion);
    const verdict = isQuarantined ? 'quarantine' : this.#limitVerdict(result, candidateVersion);
    const next = applyVerdict(definition, held.progress, { ...result, verdict }, Date.now());
    if (next === held.progress) {
      return;
    }
    const isRaise = verdict === 'advance';
    const raised = isRaise ? { raisedVersion: candidateVersion } : {};
    if (await this.#write(name, held, next, raised)) {
      this.#record(name, candidateVersion, next, result);
    }
  }

  /** Nothing is raised while the rater is down or the version marked: evidence and marks come first. */
  #limitVerdict(result: GuardResult, candidateVersion: string): GuardResult['verdict'] {
    const { safeMoves, isRaterUp } = this.#options;
    const mayRaise = isRaterUp() && !safeMoves.isVersionBlocked(candidateVersion);
    return result.verdict === 'advance' && !mayRaise ? 'continue' : result.verdict;
  }

  /** Returns whether the table took it; a refused write means that another holds the roll-out. */
  async #write(
    name: string,
    held: Held,
    progress: RolloutProgress,
    raised: { readonly raisedVersion?: string },
  ): Promise<boolean> {
    const { rows, states } = this.#options;
    if (!held.lease.isHeld()) {
      this.#held = undefined;
      return false;
    }
    const result = await rows.write({ name, progress, version: held.rowVersion, ...raised });
    if (result.kind === 'refused') {
      this.#held = undefined;
      return false;
    }
    this.#held = { ...held, progress, rowVersion: result.version };
    states.mergeProgress(progress);
    return true;
  }

  #grant({ definition }: DeclaredRollout): void {
    const held = this.#held;
    const { safeMoves, guard, isRaterUp } = this.#options;
    const isSettled = held !== undefined && Date.now() - held.sinceMs >= SETTLE_MS;
    if (!isSettled || !held.lease.isHeld()) {
      return;
    }
    if (!safeMoves.isVersionBlocked(definition.candidateVersion)) {
      const { progress } = held;
      const { ratingCount } = guard.evaluate(definition, progress);
      this.#planner.plan({ definition, progress, ratingCount, isRaterUp: isRaterUp() });
    }
  }

  #record(name: string, version: string, next: RolloutProgress, result: GuardResult): void {
    const type = next.phase === 'quarantined' ? 'rolloutHalted' : 'rolloutAdvanced';
    const { phase, stage, fence } = next;
    const detail = { rollout: name, phase, stage, fence, ratings: result.ratingCount };
    this.#options.timeline.record(type, { version }, detail);
    this.#options.logger.info({ version, ...detail }, type);
  }
}
