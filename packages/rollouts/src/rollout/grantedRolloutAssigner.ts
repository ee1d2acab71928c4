/** Assigns new sessions and sessionless requests within this daemon's grants. */
import type { Random, VersionId } from '@snipehaven/common';
import type { SafeMoves } from '@snipehaven/configuration';
import {
  assignRollout,
  type RolloutDefinition,
  type RolloutProgress,
  type RolloutSettings,
} from '@snipehaven/policy';
import { EXPECTED_SESSION_ANSWERS } from '../constants.js';
import type { AssignmentAudience, ModelAssignment, RolloutAssigner } from '../types.js';
import type { ExposureLedger } from './exposureLedger.js';
import type { RolloutCatalogue } from './rolloutCatalogue.js';
import type { RolloutStates } from './rolloutStates.js';

export interface GrantedRolloutAssignerOptions {
  readonly incarnation: string;
  readonly catalogue: RolloutCatalogue;
  readonly states: RolloutStates;
  readonly ledger: ExposureLedger;
  readonly safeMoves: Pick<SafeMoves, 'isVersionBlocked'>;
  readonly isRaterUp: () => boolean;
  readonly random: Random;
  readonly settings: RolloutSettings;
}

/** Decisions of recent requests, so that a plan made again does not draw again. */
const MAX_REMEMBERED = 1_024;

const assignStable = ({ stableVersion, candidateVersion }: RolloutDefinition): ModelAssignment => ({
  version: stableVersion,
  hidden: [candidateVersion],
  isCandidate: false,
  isGated: false,
  stableVersion,
  candidateVersion,
});

/**
 * A finished roll-out hides the old stable version from new sessions and sessionless requests for as long as
 * it stays declared and its candidate may be used: otherwise the cheaper or better proven old version
 * would go on winning the choice. Sessions that began on it stay, and a caller that names the
 * version, or may use no other of the model, still gets it.
 */
export class GrantedRolloutAssigner implements RolloutAssigner {
  readonly #options: GrantedRolloutAssignerOptions;

  readonly #decided = new Map<string, ModelAssignment>();

  constructor(options: GrantedRolloutAssignerOptions) {
    this.#options = options;
  }

  assign(model: string, audience: AssignmentAudience): ModelAssignment | undefined {
    const definition = this.#options.catalogue.findByModel(model)?.definition;
    if (definition === undefined) {
      return undefined;
    }
    if (!this.#isCandidateUsable(definition, audience)) {
      return assignStable(definition);
    }
    const key = `${audience.requestId}|${definition.rolloutId}`;
    const decided = audience.requestId === undefined ? undefined : this.#decided.get(key);
    const assignment = decided ?? this.#decide(definition, audience);
    if (audience.requestId !== undefined) {
      this.#remember(key, assignment);
    }
    return assignment;
  }

  release(requestId: string): void {
    this.#options.ledger.release(requestId);
    this.#options.catalogue
      .list()
      .forEach(({ definition }) => this.#decided.delete(`${requestId}|${definition.rolloutId}`));
  }

  /** A mark beats any share, whenever it arrived. */
  #isCandidateUsable(
    { candidateVersion }: RolloutDefinition,
    { usableVersions }: AssignmentAudience,
  ): boolean {
    return (
      !this.#options.safeMoves.isVersionBlocked(candidateVersion) &&
      (usableVersions === undefined || usableVersions.includes(candidateVersion))
    );
  }

  #decide(definition: RolloutDefinition, audience: AssignmentAudience): ModelAssignment {
    const { states, ledger, isRaterUp, random, incarnation, settings } = this.#options;
    const { rolloutId } = definition;
    const progress = states.getProgress(rolloutId);
    if (progress === undefined) {
      return assignStable(definition);
    }
    const grant = states.getGrant(rolloutId, incarnation);
    const account = ledger.getAccount(rolloutId);
    const assigned = assignRollout({
      definition,
      progress,
      ...(grant === undefined ? {} : { grant }),
      exposedCount: account.getChargedCount(),
      expectedAnswers: audience.isSession ? EXPECTED_SESSION_ANSWERS : 1,
      isIdempotent: audience.isIdempotent ?? false,
      audience,
      isRaterUp: isRaterUp(),
      random,
      settings,
    });
    if (!assigned.isCandidate) {
      const { shadowVersion } = assigned;
      const stable = assignStable(definition);
      return shadowVersion === undefined ? stable : { ...stable, shadowVersion };
    }
    if (assigned.chargedCount > 0) {
      const { requestId, isSession } = audience;
      account.reserve({ requestId, isSession, answers: assigned.chargedCount });
    }
    return this.#assignCandidate(definition, progress, audience);
  }

  #assignCandidate(
    definition: RolloutDefinition,
    progress: RolloutProgress,
    audience: AssignmentAudience,
  ): ModelAssignment {
    const { stableVersion, candidateVersion } = definition;
    return {
      version: candidateVersion,
      hidden: [stableVersion],
      isCandidate: true,
      isGated: this.#isGated(stableVersion, progress, audience),
      stableVersion,
      candidateVersion,
      shouldRate: progress.phase === 'running',
    };
  }

  /**
   * In the first stage, where nearly nothing is known, callers get only answers that were rated well; later
   * the wait for the rating costs more than the little that it still prevents.
   */
  #isGated(
    stableVersion: VersionId,
    { phase, stage }: RolloutProgress,
    { allowsCascade, isSession, usableVersions }: AssignmentAudience,
  ): boolean {
    const { safeMoves, isRaterUp } = this.#options;
    const isStableUsable =
      !safeMoves.isVersionBlocked(stableVersion) &&
      (usableVersions === undefined || usableVersions.includes(stableVersion));
    const isFirst = phase === 'running' && stage === 0;
    return isFirst && allowsCascade && !isSession && isRaterUp() && isStableUsable;
  }

  #remember(key: string, assignment: ModelAssignment): void {
    this.#decided.set(key, assignment);
    if (this.#decided.size > MAX_REMEMBERED) {
      const [oldest] = this.#decided.keys();
      this.#decided.delete(oldest ?? '');
    }
  }
}
