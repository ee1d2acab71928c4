/** Assigns versions to new sessions and sessionless requests within the grants of this daemon. */
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

/** Capacity of the assignment cache, which keeps replanning of a request from drawing again. */
const MAX_CACHED_ASSIGNMENTS = 1_024;

const assignStable = ({ stableVersion, candidateVersion }: RolloutDefinition): ModelAssignment => ({
  version: stableVersion,
  hidden: [candidateVersion],
  isCandidate: false,
  isGated: false,
  stableVersion,
  candidateVersion,
});

/**
 * A finished roll-out excludes the old stable version from new sessions and sessionless requests
 * while it remains declared and its candidate is usable; otherwise the old version, being cheaper
 * or having more evidence, would keep being chosen. Sessions that started on the old version keep
 * it, and callers that name it or may use no other version of the model still get it.
 */
export class GrantedRolloutAssigner implements RolloutAssigner {
  readonly #options: GrantedRolloutAssignerOptions;

  readonly #assignments = new Map<string, ModelAssignment>();

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
    const cached = audience.requestId === undefined ? undefined : this.#assignments.get(key);
    const assignment = cached ?? this.#decide(definition, audience);
    if (audience.requestId !== undefined) {
      this.#cacheAssignment(key, assignment);
    }
    return assignment;
  }

  release(requestId: string): void {
    this.#options.ledger.release(requestId);
    this.#options.catalogue
      .list()
      .forEach(({ definition }) =>
        this.#assignments.delete(`${requestId}|${definition.rolloutId}`),
      );
  }

  /** A withdrawal or quarantine overrides any share, whenever it was received. */
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
   * In the first stage, when little is known, callers receive only answers that were rated well.
   * Later the latency of inline rating outweighs the few bad answers it would prevent.
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

  #cacheAssignment(key: string, assignment: ModelAssignment): void {
    this.#assignments.set(key, assignment);
    if (this.#assignments.size > MAX_CACHED_ASSIGNMENTS) {
      const [oldest] = this.#assignments.keys();
      this.#assignments.delete(oldest ?? '');
    }
  }
}
