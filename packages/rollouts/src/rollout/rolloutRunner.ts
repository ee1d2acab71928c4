/**
 * Runs the declared roll-outs. Every daemon watches the guard over its own evidence and may quarantine at
 * once; one holder, under a lease, raises stages and plans grants.
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
import type { GuardWatch } from './guardWatch.js';
import type { DeclaredRollout, RolloutCatalogue } from './rolloutCatalogue.js';
import { RolloutHolder } from './rolloutHolder.js';
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
  readonly guard: GuardWatch;
  readonly isRaterUp: () => boolean;
  readonly actorSystem: ActorSystem;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly settings: RolloutSettings;
}

interface RunnerMessage {
  readonly type: 'step';
}

/** Phases in which the guard's verdict is still to come. */
const openPhases: ReadonlySet<RolloutPhase> = new Set(['shadow', 'running']);

export class RolloutRunner {
  readonly #options: RolloutRunnerOptions;

  readonly #rows: RolloutRows;

  /** By name of the roll-out. */
  readonly #holders = new Map<string, RolloutHolder>();

  #actor: HandlerActor<RunnerMessage> | undefined;

  #timer: NodeJS.Timeout | undefined;

  /** A step that waits for a slow table must not let further ones pile up. */
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

  /** Stops, and gives up the leases so that others can go on at once. */
  async stop(): Promise<void> {
    this.kill();
    await Promise.all([...this.#holders.values()].map((holder) => holder.leave()));
    this.#holders.clear();
  }

  /** Stops as a killed process would. */
  kill(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#actor?.stop();
  }

  /** Names of the roll-outs that this daemon drives. */
  listHeld(): readonly string[] {
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
    states.keepOnly(new Set(declared.map(({ definition }) => definition.rolloutId)));
    declared.forEach((rollout) => {
      this.#report(rollout);
      this.#watch(rollout);
    });
    if (!this.#isStepping) {
      this.#isStepping = true;
      this.#actor?.tell({ type: 'step' });
    }
  }

  /** Tells the holder what this daemon was granted and has exposed. */
  #report({ definition }: DeclaredRollout): void {
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

  /** A quarantine is a safe move: whoever has the evidence makes it, without the lease. */
  #watch({ name, definition }: DeclaredRollout): void {
    const { states, guard, safeMoves } = this.#options;
    const { candidateVersion, rolloutId } = definition;
    const progress = states.getProgress(rolloutId);
    if (
      progress === undefined ||
      !openPhases.has(progress.phase) ||
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
      logger.error({ version, error: getErrorMessage(error) }, 'quarantine failed');
    } finally {
      this.#quarantining.delete(version);
    }
  }

  async #stepAll(): Promise<void> {
    try {
      const declared = this.#options.catalogue.list();
      await this.#leaveUndeclared(declared);
      await Promise.all(declared.map((rollout) => this.#step(rollout)));
    } finally {
      this.#isStepping = false;
    }
  }

  async #step(rollout: DeclaredRollout): Promise<void> {
    const holder = this.#getHolder(rollout.name);
    try {
      if (this.#mayHold(rollout.name)) {
        await holder.step(rollout);
      } else {
        await holder.leave();
      }
    } catch (error) {
      this.#logFailure(rollout.name, error);
    }
  }

  /** Only one daemon of one data centre tries for the lease, to spare the table. */
  #mayHold(name: string): boolean {
    const { membership } = this.#options;
    const duty = getLeaseName(name);
    const dataCentres = [...new Set(membership.listAlive().map(({ dataCentre }) => dataCentre))];
    const chosen = getRendezvousOwner(duty, dataCentres);
    return chosen === membership.self.dataCentre && membership.ownsDuty(duty);
  }

  async #leaveUndeclared(declared: readonly DeclaredRollout[]): Promise<void> {
    const names = new Set(declared.map(({ name }) => name));
    const gone = [...this.#holders].filter(([name]) => !names.has(name));
    await Promise.all(
      gone.map(async ([name, holder]) => {
        this.#holders.delete(name);
        await holder.leave();
      }),
    );
  }

  #getHolder(name: string): RolloutHolder {
    const present = this.#holders.get(name);
    if (present !== undefined) {
      return present;
    }
    const created = new RolloutHolder({ ...this.#options, rows: this.#rows });
    this.#holders.set(name, created);
    return created;
  }

  #logFailure(name: string, error: unknown): void {
    const level = isPlatformError(error) ? 'debug' : 'error';
    const detail = { rollout: name, error: getErrorMessage(error) };
    this.#options.logger[level](detail, 'roll-out rests');
  }
}
