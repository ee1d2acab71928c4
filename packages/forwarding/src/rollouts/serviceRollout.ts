/** State of one service's roll-out, as this daemon knows it. */
import {
  NO_ANSWERS,
  LAST_STEP,
  ROLLOUT_NOT_BEGUN,
  addVersionCounts,
  combineEvidence,
  findAllowedStep,
  findDueStep,
  getRolloutPosition,
  getSlownessEvidence,
  isExposureHarmless,
  isMainPhase,
  isVersionBad,
  isVersionProvenAcrossDataCentres,
  isVersionTooSlow,
  maySlownessBeExcluded,
  sumLatencies,
  type RolloutExposure,
  type RolloutElapsed,
  type RolloutPosition,
  type VersionCounts,
} from '@snipehaven/policy';
import type { StoreClock } from '../configuration/storeClock.js';
import { NO_ROLLOUT_COUNTS, addRolloutCounts, type RolloutCounts } from '../peers/index.js';
import type { StoreRevision } from '../store/index.js';
import type { RolloutOrder, RolloutState } from '../types.js';
import { AnswerTimes, type AwaitedAnswer } from './answerTimes.js';
import { refersTo } from './orderIdentity.js';
import type {
  BodyProgress,
  RolloutAnswer,
  RolloutEvidence,
  RolloutStatus,
  RolloutWork,
  StoredStart,
  VersionRole,
} from './types.js';
import { RolloutStart } from './rolloutStart.js';
import { VersionStats } from './versionStats.js';

/**
 * A daemon that has not heard from the store for longer than this no longer raises the share of the
 * new version.
 */
const MAX_STORE_SILENCE_MS = 3_500;

/** The times of bodies that are expected to be shorter depend on how their bytes happen to be split. */
const MIN_BODY_MS = 50;

/** Interval of checks whether the evidence allows a step that is due. */
const STEP_CHECK_INTERVAL_MS = 100;

/**
 * Fraction of a roll-out's duration for which the version must have had all requests before the
 * roll-out is completed.
 */
const MIN_FULL_SHARE_FRACTION = 0.12;

export interface ServiceRolloutOptions {
  readonly order: RolloutOrder;
  readonly orderRevision: StoreRevision;
  /** Upper bound of the order's age; undefined if this daemon cannot know it. */
  readonly givenWithinMs: number | undefined;
  readonly clock: StoreClock;
  /** Share of all requests during a roll-out that a version may get that turns out to be bad. */
  readonly allowedExposure: number;
  /** Requests that such a version may get beyond that share. */
  readonly exposureSlack: number;
  /** This roll-out's answer counts, summed over the reachable peers. */
  findPeerCounts(orderRevision: StoreRevision): RolloutCounts | undefined;
  /** Number of ready upstreams of the new version per data centre, including evacuated ones. */
  countUpstreams(): ReadonlyMap<string, number>;
}

export class ServiceRollout {
  readonly order: RolloutOrder;

  readonly stats = new VersionStats();

  readonly times: AnswerTimes;

  #orderRevision: StoreRevision;

  readonly #peerEvidence = new Map<string, RolloutEvidence>();

  readonly #orderTakenAtMs = performance.now();

  readonly #start: RolloutStart;

  /** Time since which all requests go to the new version; undefined before. */
  #fullShareSinceMs: number | undefined;

  /**
   * Highest elapsed time that the schedule has reached; it stops while the daemon hears nothing
   * from the store, and never decreases.
   */
  #maxElapsed: RolloutElapsed = { atLeastMs: 0, atMostMs: 0 };

  /** Highest step of the schedule that was due and allowed by the evidence so far. */
  #reachedStep = 0;

  /** The step that was due when the evidence was last compared, and when that was. */
  #checkedStep = 0;

  #stepCheckedAtMs = -Infinity;

  /** Logarithm of the likelihood ratio of a slow to a good version; undefined if it is unknown. */
  #slownessEvidence: number | undefined;

  #state: RolloutState = 'running';

  /** Of the status row; version 0 if there is none. */
  #statusRevision: StoreRevision;

  /** Whether the store has held a status of this order. */
  #wasStored = false;

  #fromVersion: string | undefined;

  /** State in the store's status row of this order. */
  #storedState: RolloutState | undefined;

  readonly #allowedExposure: number;

  readonly #exposureSlack: number;

  readonly #findPeerCounts: (orderRevision: StoreRevision) => RolloutCounts | undefined;

  readonly #countUpstreams: () => ReadonlyMap<string, number>;

  constructor(facts: ServiceRolloutOptions) {
    const { order, orderRevision, givenWithinMs, clock, allowedExposure } = facts;
    this.order = order;
    this.#orderRevision = orderRevision;
    this.#statusRevision = { era: orderRevision.era, version: 0 };
    this.#findPeerCounts = (revision) => facts.findPeerCounts(revision);
    this.#countUpstreams = () => facts.countUpstreams();
    this.#start = new RolloutStart(clock, givenWithinMs);
    this.#allowedExposure = allowedExposure;
    this.#exposureSlack = facts.exposureSlack;
    this.times = new AnswerTimes(order.durationMs);
  }

  /** Revision of the order's row; another one when the operator has written the order again. */
  get orderRevision(): StoreRevision {
    return this.#orderRevision;
  }

  /** The operator has written the order again, as the store had lost it. */
  renew(orderRevision: StoreRevision): void {
    this.#orderRevision = orderRevision;
  }

  get state(): RolloutState {
    return this.#state;
  }

  /** Whether the store holds a status of this order. */
  get isStatusKnown(): boolean {
    return this.#storedState !== undefined;
  }

  get isStoredStateFinal(): boolean {
    return this.#storedState !== undefined && this.#storedState !== 'running';
  }

  /** Whether the store has lost a status of this order, which is to be written again. */
  get isStatusLost(): boolean {
    return this.#wasStored && this.#storedState === undefined;
  }

  /** Revision expected by the next write of the status row; version 0 if there is no row. */
  get statusRevision(): StoreRevision {
    return this.#statusRevision;
  }

  /**
   * When the order was given, for the status row; undefined while the offset of the store's clock
   * is unknown.
   */
  get storedStart(): StoredStart | undefined {
    return this.#start.toStored();
  }

  /** The version that served before the order; undefined where that is not known. */
  get fromVersion(): string | undefined {
    return this.#fromVersion;
  }

  get elapsed(): RolloutElapsed {
    return this.#start.elapsed;
  }

  /** Takes the status of an earlier order: its outcome tells which version serves now. */
  takePreviousStatus(status: RolloutStatus, revision: StoreRevision): void {
    this.#statusRevision = revision;
    this.#fromVersion ??= status.state === 'completed' ? status.toVersion : status.fromVersion;
  }

  /** The store holds no status; `era` is that of the read that shows this. */
  takeNoStatus(era: number): void {
    this.#statusRevision = { era, version: 0 };
    this.#storedState = undefined;
  }

  takeStatus(status: RolloutStatus, revision: StoreRevision): void {
    this.#statusRevision = revision;
    this.#fromVersion = status.fromVersion;
    this.#wasStored = true;
    this.#storedState = status.state;
    this.#start.noteStored(status);
    if (status.state !== 'running') {
      // The stored state decides, as the platform acts on it: after `completed` it stops the old
      // upstreams.
      this.#state = status.state;
    }
  }

  takeEvidence(evidence: RolloutEvidence): void {
    if (refersTo(evidence.orderRevision, this.#orderRevision)) {
      this.#peerEvidence.set(evidence.vm, evidence);
    }
  }

  /** Time in ms after which an answer counts as slow; Infinity if this work is not evaluated. */
  getSlowMs({ softwareVersion, workKind }: RolloutWork): number {
    const isTried = this.#state === 'running' && softwareVersion === this.order.toVersion;
    return isTried ? this.stats.getSlowMs(workKind) : Infinity;
  }

  /** True when it is a bad answer of the new version. */
  count(answer: RolloutAnswer): boolean {
    const role = this.#getRole(answer);
    return this.stats.count(role, answer) && role === 'candidate';
  }

  isBodySlow({ workKind }: RolloutWork, { bytes, tookMs }: BodyProgress): boolean {
    return this.#state === 'running' && tookMs > this.stats.getSlowBodyMs(workKind, bytes);
  }

  /** True when it is a bad answer of the new version. */
  countSlowBody(work: RolloutWork): boolean {
    const role = this.#getRole(work);
    this.stats.countSlowBody(role, work);
    return role === 'candidate';
  }

  /** Records how long an answer, or a part of it, took from its beginning on. */
  recordBodyTime(work: RolloutWork, { bytes, tookMs }: BodyProgress): void {
    const expectedMs = this.stats.getExpectedBodyMs(work.workKind, bytes);
    if (this.#state === 'running' && expectedMs !== undefined && expectedMs >= MIN_BODY_MS) {
      this.times.recordBody(this.#getRole(work), tookMs, expectedMs);
    }
  }

  recordBodyRate(work: RolloutWork, { bytes, tookMs }: BodyProgress): void {
    if (this.#getRole(work) === 'present' && bytes > 0) {
      this.stats.recordBodyRate(work.workKind, tookMs / bytes);
    }
  }

  /**
   * Rolls back if the evidence of all daemons shows that the new version is bad. Returns true if it
   * did.
   */
  judge(): boolean {
    if (this.#state !== 'running') {
      return false;
    }
    const { fleetCounts } = this;
    this.#updateStep(fleetCounts);
    const { candidate, present } =
      this.#findPeerCounts(this.#orderRevision) === undefined ? this.#storedCounts : fleetCounts;
    const isBad =
      isVersionBad(candidate, present) ||
      isVersionTooSlow(this.#slownessEvidence, this.#getExposure(fleetCounts), this.#reachedStep);
    this.#state = isBad ? 'rolledBack' : this.#state;
    return isBad;
  }

  /**
   * Rolls back because another daemon found the new version bad. Returns true if it was still
   * running.
   */
  rollBack(): boolean {
    const isNews = this.#state === 'running';
    this.#state = isNews ? 'rolledBack' : this.#state;
    return isNews;
  }

  /**
   * Progress of the schedule; it does not advance at a daemon that has lost contact with the store.
   */
  getPlace(storeAgeMs: number): RolloutPosition {
    if (!this.#start.isKnown) {
      // Without a known start the roll-out may have been rolled back long ago.
      return ROLLOUT_NOT_BEGUN;
    }
    const unheardMs = Math.min(storeAgeMs, performance.now() - this.#orderTakenAtMs);
    const blindMs = Math.max(0, unheardMs - MAX_STORE_SILENCE_MS);
    const { atLeastMs, atMostMs } = this.#start.elapsed;
    this.#maxElapsed = {
      atLeastMs: Math.max(this.#maxElapsed.atLeastMs, atLeastMs - blindMs),
      atMostMs: Math.max(this.#maxElapsed.atMostMs, atMostMs - blindMs),
    };
    this.#takeDueStep();
    const place = getRolloutPosition(
      this.#maxElapsed,
      this.order.durationMs,
      this.#allowedExposure,
      this.#allowedStep,
    );
    if (isMainPhase(place.phase)) {
      this.#fullShareSinceMs ??= performance.now();
      this.stats.startFullShare();
    }
    return place;
  }

  /** Called when a request assigned to the new version found no upstream of it. */
  resetFullShare(): void {
    this.#fullShareSinceMs = undefined;
  }

  /**
   * Whether the new version has had all requests of this daemon for long enough to be evaluated.
   */
  get hasFullShareLongEnough(): boolean {
    const seenMs = performance.now() - (this.#fullShareSinceMs ?? Infinity);
    return seenMs >= MIN_FULL_SHARE_FRACTION * this.order.durationMs;
  }

  /** This daemon's own counts. */
  get ownCounts(): RolloutCounts {
    const { candidate, present, candidateAtFullShare } = this.stats;
    return {
      candidate,
      present,
      candidateAtFullShare,
      times: {
        candidate: this.times.getProfile('candidate'),
        present: this.times.getProfile('present'),
        candidateBodies: this.times.getBodyProfile('candidate'),
        presentBodies: this.times.getBodyProfile('present'),
        candidateRequests: this.times.getRequests('candidate'),
        presentRequests: this.times.getRequests('present'),
      },
      step: this.#reachedStep,
    };
  }

  /** Answer counts of this daemon and its reachable peers. */
  get fleetCounts(): RolloutCounts {
    const peers = this.#findPeerCounts(this.#orderRevision) ?? NO_ROLLOUT_COUNTS;
    return addRolloutCounts(peers, this.ownCounts);
  }

  /** Logarithm of the likelihood ratio of a slow to a good version, at the last judgement. */
  get slownessEvidence(): number | undefined {
    return this.#slownessEvidence;
  }

  /** Whether the answers show that the new version is good; always true for a service without answers. */
  get isProven(): boolean {
    const { candidate, present, candidateAtFullShare } = this.fleetCounts;
    if (candidate.answers + present.answers === 0) {
      return true;
    }
    const dataCentres = [...this.#countUpstreams()].map(([dataCentre, upstreams]) => ({
      upstreams,
      counts: candidateAtFullShare.get(dataCentre) ?? NO_ANSWERS,
    }));
    return (
      maySlownessBeExcluded(this.#slownessEvidence) &&
      isVersionProvenAcrossDataCentres(dataCentres, present)
    );
  }

  /**
   * Counts by the rows in the store, for a daemon that hears no other one. Daemons write theirs after
   * a bad answer of the new version, so that those without any are missing.
   */
  get #storedCounts(): Readonly<Record<VersionRole, VersionCounts>> {
    const rows = [...this.#peerEvidence.values()];
    return {
      candidate: rows.map((one) => one.candidate).reduce(addVersionCounts, this.stats.candidate),
      present: rows.map((one) => one.present).reduce(addVersionCounts, this.stats.present),
    };
  }

  /** Starts to time an answer. Undefined if the roll-out has ended. */
  startAnswer(
    work: RolloutWork,
    expected: Pick<AwaitedAnswer, 'expectedMs' | 'isUpstreamSilent'>,
  ): AwaitedAnswer | undefined {
    if (this.#state !== 'running') {
      return undefined;
    }
    const answer = { ...expected, role: this.#getRole(work), sentAtMs: performance.now() };
    this.times.start(answer);
    return answer;
  }

  /**
   * A daemon that learns of the order in the second half, as it was restarted, follows the schedule
   * until it hears how far the others are: sessions that have moved must not come back.
   */
  get #allowedStep(): number {
    const isUninformed =
      this.#isLateComer && this.#findPeerCounts(this.#orderRevision) === undefined;
    return isUninformed ? LAST_STEP : this.#reachedStep;
  }

  /** Whether the second half had begun when this daemon learned of the order. */
  get #isLateComer(): boolean {
    const sinceOrderMs = performance.now() - this.#orderTakenAtMs;
    const { atMostMs } = this.#start.elapsed;
    return atMostMs - sinceOrderMs >= this.order.durationMs / 2;
  }

  #getExposure({ times }: RolloutCounts): RolloutExposure {
    const { candidateRequests, presentRequests } = times;
    return {
      candidateRequests,
      presentRequests,
      allowedShare: this.#allowedExposure,
      slackRequests: this.#exposureSlack,
    };
  }

  /** Takes a step when it is due; one that the evidence does not allow yet is checked again at intervals. */
  #takeDueStep(): void {
    const due = findDueStep(this.#maxElapsed, this.order.durationMs);
    const nowMs = performance.now();
    const isCheckDue =
      due > this.#checkedStep || nowMs - this.#stepCheckedAtMs >= STEP_CHECK_INTERVAL_MS;
    if (due > this.#reachedStep && isCheckDue) {
      this.#updateStep(this.fleetCounts);
    }
  }

  #updateStep(counts: RolloutCounts): void {
    const { times, step } = counts;
    const evidence = combineEvidence([
      getSlownessEvidence(times.candidate, times.present),
      getSlownessEvidence(times.candidateBodies, times.presentBodies),
    ]);
    this.#slownessEvidence = evidence;
    const { durationMs } = this.order;
    const leftShare = Math.max(0, durationMs / Math.max(1, this.#maxElapsed.atLeastMs) - 1);
    const isHarmless =
      (evidence ?? 0) <= 0 && isExposureHarmless(this.#getExposure(counts), leftShare);
    const allowed = isHarmless
      ? LAST_STEP
      : findAllowedStep(evidence, sumLatencies(times.candidate));
    // Steps that others have taken are taken too, as sessions come to any daemon.
    const taken = (evidence ?? 0) <= 0 ? step : 0;
    const due = findDueStep(this.#maxElapsed, durationMs);
    this.#checkedStep = due;
    this.#stepCheckedAtMs = performance.now();
    this.#reachedStep = Math.max(this.#reachedStep, Math.min(due, Math.max(allowed, taken)));
  }

  #getRole({ softwareVersion }: RolloutWork): VersionRole {
    return softwareVersion === this.order.toVersion ? 'candidate' : 'present';
  }
}
