/**
 * Runs the declared roll-outs. Every daemon evaluates the guard on its own evidence and may
 * quarantine immediately; the daemon that holds the lease advances stages and plans grants.
 */
import {
  getErrorMessage,
  getRendezvousOwner,
  spawnHandlerActor,
  type ActorSystem,
  type HandlerActor,
  type Logger,
} from '@snipehaven/common';
import type { SafeMoves } from '@snipehaven/configuration';
import type { LeaseKeeper, MembershipView } from '@snipehaven/membership';
import { isPlatformError, type TableClient } from '@snipehaven/platform';
import type { RolloutPhase, RolloutSettings } from '@snipehaven/policy';
import type { TimelineRecorder } from '@snipehaven/timeline';
import { RUNNER_TICK_MS } from '../constants.js';
import type { RolloutReport } from '../types.js';
import type { ExposureLedger } from './exposureLedger.js';
import type { GuardEvaluator } from './guardEvaluator.js';
import type { DeclaredRollout, RolloutCatalogue } from './rolloutCatalogue.js';
import { RolloutLeaseHolder } from './rolloutLeaseHolder.js';
import { describeRollout } from './rolloutReports.js';
import { getLeaseName, RolloutRows } from './rolloutRows.js';
import type { RolloutStates } from './rolloutStates.js';

export interface RolloutRunnerOptions {
  readonly table: TableClient;
  readonly leases: LeaseKeeper;
  readonly membership: MembershipView;
  readonly safeMoves: SafeMoves;
  readonly catalogue: RolloutCatalogue;
  readonly states: RolloutStates;
  readonly ledger: ExposureLedger;
  readonly guard: GuardEvaluator;
  readonly isRaterUp: () => boolean;
  readonly actorSystem: ActorSystem;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly settings: RolloutSettings;
}

interface RunnerMessage {
  readonly type: 'step';
}

/** Phases in which the guard may still quarantine the candidate. */
const undecidedPhases: ReadonlySet<RolloutPhase> = new Set(['shadow', 'running']);

export class RolloutRunner {
  readonly #options: RolloutRunnerOptions;

  readonly #rows: RolloutRows;

  /** Keyed by roll-out name. */
  readonly #holders = new Map<string, RolloutLeaseHolder>();

  #actor: HandlerActor<RunnerMessage> | undefined;

  #timer: NodeJS.Timeout | undefined;

  /** Prevents steps from piling up while one waits for a slow table. */
  #isStepping = false;

  readonly #quarantining = new Set<string>();

  constructor(options: RolloutRunnerOptions) {
    this.#options = options;
    this.#rows = new RolloutRows(options.table);
  }

  start(): void {
    const { actorSystem, logger } = this.#options;
    this.#actor = spawnHandlerActor<RunnerMessage>(
      actorSystem,
      'rollouts',
      { step: () => this.#stepAll() },
      (error) => logger.error({ error: getErrorMessage(error) }, 'roll-out step failed'),
    );
    this.#timer = setInterval(() => this.#tick(), RUNNER_TICK_MS);
  }

  /** Stops and releases the leases, so that other daemons can take over immediately. */
  async stop(): Promise<void> {
    this.kill();
    await Promise.all([...this.#holders.values()].map((holder) => holder.releaseLease()));
    this.#holders.clear();
  }

  /** Stops without releasing leases, like a killed process. */
  kill(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#actor?.stop();
  }

  /** Names of the roll-outs whose lease this daemon holds. */
  listHeldRollouts(): readonly string[] {
    return [...this.#holders].filter(([, holder]) => holder.isHolding()).map(([name]) => name);
  }

  listStatus(): readonly RolloutReport[] {
    return this.#options.catalogue
      .list()
      .map((declared) => describeRollout(declared, this.#options));
  }

  #tick(): void {
    const { catalogue, states } = this.#options;
    const declared = catalogue.list();
    states.retainOnly(new Set(declared.map(({ definition }) => definition.rolloutId)));
    declared.forEach((rollout) => {
      this.#reportExposure(rollout);
      this.#checkGuard(rollout);
    });
    if (!this.#isStepping) {
      this.#isStepping = true;
      this.#actor?.tell({ type: 'step' });
    }
  }

  /** Reports this daemon's grant and exposure to the lease holder, through gossip. */
  #reportExposure({ definition }: DeclaredRollout): void {
    const { states, ledger, membership } = this.#options;
    const { rolloutId } = definition;
    const { incarnation } = membership.self;
    const { exposedCount, judgedCount } = ledger.getAccount(rolloutId);
    const grantedCount = states.getGrantMessage(rolloutId, incarnation)?.grantedCount ?? 0;
    if (grantedCount + exposedCount > 0) {
      const exposure = { rolloutId, incarnation, grantedCount, exposedCount, judgedCount };
      states.mergeExposure(exposure);
    }
  }

  /**
   * Quarantining is a safe move, so any daemon with sufficient evidence does it without the lease.
   */
  #checkGuard({ name, definition }: DeclaredRollout): void {
    const { states, guard, safeMoves } = this.#options;
    const { candidateVersion, rolloutId } = definition;
    const progress = states.getProgress(rolloutId);
    if (
      progress === undefined ||
      !undecidedPhases.has(progress.phase) ||
      safeMoves.isActive('quarantine', candidateVersion)
    ) {
      return;
    }
    const result = guard.evaluate(definition, progress);
    if (result.verdict === 'quarantine' && !this.#quarantining.has(candidateVersion)) {
      const { strongestSignal, ratingCount, logEValue } = result;
      const evidence = `${strongestSignal}, ${ratingCount} ratings, log e-value ${logEValue.toFixed(1)}`;
      void this.#quarantine(candidateVersion, `guard of roll-out ${name}: ${evidence}`);
    }
  }

  async #quarantine(version: string, reason: string): Promise<void> {
    const { safeMoves, membership, timeline, logger } = this.#options;
    this.#quarantining.add(version);
    timeline.record('versionQuarantined', { version }, { reason });
    try {
      await safeMoves.activate('quarantine', version, reason, membership.self.incarnation);
    } catch (error) {
      logger.error(
        { version, error: getErrorMessage(error) },
        'could not quarantine the candidate',
      );
    } finally {
      this.#quarantining.delete(version);
    }
  }

  async #stepAll(): Promise<void> {
    try {
      const declared = this.#options.catalogue.list();
      await this.#releaseUndeclared(declared);
      await Promise.all(declared.map((rollout) => this.#step(rollout)));
    } finally {
      this.#isStepping = false;
    }
  }

  async #step(rollout: DeclaredRollout): Promise<void> {
    const holder = this.#getHolder(rollout.name);
    try {
      if (this.#shouldHoldLease(rollout.name)) {
        await holder.step(rollout);
      } else {
        await holder.releaseLease();
      }
    } catch (error) {
      this.#logFailure(rollout.name, error);
    }
  }

  /** Only one daemon of one data centre requests the lease, to limit the load on the table. */
  #shouldHoldLease(name: string): boolean {
    const { membership } = this.#options;
    const duty = getLeaseName(name);
    const dataCentres = [...new Set(membership.listAlive().map(({ dataCentre }) => dataCentre))];
    const chosen = getRendezvousOwner(duty, dataCentres);
    return chosen === membership.self.dataCentre && membership.ownsDuty(duty);
  }

  async #releaseUndeclared(declared: readonly DeclaredRollout[]): Promise<void> {
    const names = new Set(declared.map(({ name }) => name));
    const gone = [...this.#holders].filter(([name]) => !names.has(name));
    await Promise.all(
      gone.map(async ([name, holder]) => {
        this.#holders.delete(name);
        await holder.releaseLease();
      }),
    );
  }

  #getHolder(name: string): RolloutLeaseHolder {
    const present = this.#holders.get(name);
    if (present !== undefined) {
      return present;
    }
    const created = new RolloutLeaseHolder({ ...this.#options, rows: this.#rows });
    this.#holders.set(name, created);
    return created;
  }

  #logFailure(name: string, error: unknown): void {
    const level = isPlatformError(error) ? 'debug' : 'error';
    const detail = { rollout: name, error: getErrorMessage(error) };
    this.#options.logger[level](
      detail,
      'could not advance the roll-out; retrying at the next step',
    );
  }
}
