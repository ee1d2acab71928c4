/**
 * Decides which software version a request goes to during a roll-out, and collects the evidence
 * about it.
 */
import type { Logger } from '@snipehaven/common';
import type { Freshness } from '../configuration/freshness.js';
import type { StoreClock } from '../configuration/storeClock.js';
import type { BadVersionMessage, RolloutCounts, ServiceRolloutCounts } from '../peers/index.js';
import type { RequestOptions, RolloutOrder } from '../types.js';
import type { UpstreamEntry } from '../upstreams/index.js';
import { describeCounts } from './describeCounts.js';
import {
  isSessionVersionEvacuated,
  filterByVersion,
  type VersionQuery,
} from './filterByVersion.js';
import { ServiceRollout } from './serviceRollout.js';
import { SessionVersions, type SessionRun } from './sessionVersions.js';
import type {
  BodyProgress,
  RolloutAnswer,
  RolloutEvidence,
  RolloutStage,
  ObservedRollout,
  RolloutStatus,
  RolloutWork,
  SessionRunReport,
} from './types.js';

interface KnownStatus {
  readonly status: RolloutStatus;
  readonly rowVersion: number;
}

export interface RolloutTrackerOptions {
  readonly logger: Logger;
  readonly vm: string;
  readonly freshness: Freshness;
  /** Clock offset by which the status row dates the start of a roll-out. */
  readonly clock: StoreClock;
  readonly sessionTtlMs: number;
  /** Share of all requests during a roll-out that a version may get that turns out to be bad. */
  readonly allowedExposure: number;
  countSessionMove(stage: RolloutStage): void;
  /** The roll-out's answer counts, summed over the reachable peers. */
  findPeerCounts(service: string, orderVersion: number): RolloutCounts | undefined;
  /** Number of ready upstreams of the version per data centre, including evacuated ones. */
  countUpstreams(service: string, softwareVersion: string): ReadonlyMap<string, number>;
  /** Whether any ready upstream of the version is in an evacuated data centre. */
  hasEvacuatedUpstreams(service: string, softwareVersion: string): boolean;
}

export class RolloutTracker {
  readonly #logger: Logger;

  readonly #vm: string;

  /** Time since the last contact with the store: a status may have been written since. */
  readonly #freshness: Freshness;

  readonly #clock: StoreClock;

  readonly #rollouts = new Map<string, ServiceRollout>();

  /**
   * Latest status of each service, even if its order is not known yet: orders and statuses arrive
   * on separate feeds in any order, and a starting daemon reads each row once.
   */
  readonly #statuses = new Map<string, KnownStatus>();

  #hasReadStatuses = false;

  readonly #sessionVersions: SessionVersions;

  readonly #countSessionMove: (stage: RolloutStage) => void;

  #onBadAnswer: (rollout: ServiceRollout) => void = () => {};

  #onOrder: () => void = () => {};

  readonly #allowedExposure: number;

  readonly #findPeerCounts: RolloutTrackerOptions['findPeerCounts'];

  readonly #countUpstreams: RolloutTrackerOptions['countUpstreams'];

  readonly #hasEvacuatedUpstreams: RolloutTrackerOptions['hasEvacuatedUpstreams'];

  constructor(options: RolloutTrackerOptions) {
    this.#logger = options.logger;
    this.#vm = options.vm;
    this.#freshness = options.freshness;
    this.#clock = options.clock;
    this.#sessionVersions = new SessionVersions(options.sessionTtlMs);
    this.#countSessionMove = options.countSessionMove;
    this.#allowedExposure = options.allowedExposure;
    this.#countUpstreams = (service, version) => options.countUpstreams(service, version);
    this.#hasEvacuatedUpstreams = (service, version) =>
      options.hasEvacuatedUpstreams(service, version);
    this.#findPeerCounts = (service, orderVersion) => options.findPeerCounts(service, orderVersion);
  }

  get rollouts(): Iterable<ServiceRollout> {
    return this.#rollouts.values();
  }

  /** Whether a roll-out is running, so that its final state in the store is awaited. */
  get isAnyRunning(): boolean {
    return [...this.#rollouts.values()].some(({ state }) => state === 'running');
  }

  /**
   * Whether the state of each roll-out is known: orders and statuses are read one after the other.
   */
  get isStateKnown(): boolean {
    return this.#hasReadStatuses || this.#rollouts.size === 0;
  }

  /** Registers a listener for bad answers of a new version at this daemon. */
  onBadAnswer(listener: (rollout: ServiceRollout) => void): void {
    this.#onBadAnswer = listener;
  }

  /** Registers a listener for new orders. */
  onOrder(listener: () => void): void {
    this.#onOrder = listener;
  }

  /** `givenWithinMs`: upper bound of the order's age; undefined if this daemon cannot know it. */
  applyOrder(order: RolloutOrder, orderVersion: number, givenWithinMs: number | undefined): void {
    const known = this.#rollouts.get(order.service);
    if (known?.orderVersion === orderVersion) {
      return;
    }
    const rollout = new ServiceRollout({
      order,
      orderVersion,
      givenWithinMs,
      clock: this.#clock,
      allowedExposure: this.#allowedExposure,
      findPeerCounts: () => this.#findPeerCounts(order.service, orderVersion),
      countUpstreams: () => this.#countUpstreams(order.service, order.toVersion),
    });
    this.#rollouts.set(order.service, rollout);
    this.#updateRollout(order.service);
    this.#onOrder();
    this.#logger.info(
      { event: 'rolloutOrdered', ...order, orderVersion, givenWithinMs },
      'roll-out ordered',
    );
  }

  removeOrder(service: string): void {
    this.#rollouts.delete(service);
  }

  applyStatus(status: RolloutStatus, rowVersion: number): void {
    this.#statuses.set(status.service, { status, rowVersion });
    this.#updateRollout(status.service);
  }

  /** Called after all statuses in the store have been applied. */
  noteStatusesRead(): void {
    this.#hasReadStatuses = true;
  }

  addEvidence(evidence: RolloutEvidence): void {
    if (evidence.vm !== this.#vm) {
      const rollout = this.#rollouts.get(evidence.service);
      rollout?.takeEvidence(evidence);
      this.#judge(rollout);
    }
  }

  /**
   * Applies the verdict of another daemon that an order's version is bad; that daemon may not reach
   * the store to write it.
   */
  receiveBadVersion({ service, orderVersion }: BadVersionMessage): void {
    const rollout = this.#rollouts.get(service);
    if (rollout?.orderVersion === orderVersion && rollout.rollBack()) {
      this.#logState(rollout, 'daemon');
    }
  }

  /** This daemon's counts to share with its peers, for roll-outs whose final state is not stored yet. */
  get ownCounts(): readonly ServiceRolloutCounts[] {
    return [...this.#rollouts.values()]
      .filter(({ isStoredStateFinal }) => !isStoredStateFinal)
      .map(({ order, orderVersion, stats }) => ({
        service: order.service,
        orderVersion,
        candidate: stats.candidate,
        present: stats.present,
        candidateAtFullShare: stats.candidateAtFullShare,
      }));
  }

  /** Re-evaluates all roll-outs with the latest counts of the peers. */
  judgeAll(): void {
    [...this.#rollouts.values()].forEach((rollout) => this.#judge(rollout));
  }

  /** Counts an answer if a roll-out is running. */
  recordAnswer(answer: RolloutAnswer): void {
    const rollout = this.#rollouts.get(answer.service);
    if (rollout?.state !== 'running') {
      return;
    }
    if (rollout.count(answer)) {
      this.#handleBadAnswer(rollout, answer);
    }
  }

  isBodySlow(work: RolloutWork, body: BodyProgress): boolean {
    return this.#rollouts.get(work.service)?.isBodySlow(work, body) ?? false;
  }

  /** Counts a slow body of an answer that is already counted; to be called once per answer. */
  recordSlowBody(work: RolloutWork, body: BodyProgress): void {
    const rollout = this.#rollouts.get(work.service);
    if (rollout?.countSlowBody(work)) {
      this.#handleBadAnswer(rollout, { ...work, ...body });
    }
  }

  /** Updates the expected rate from a complete answer. */
  recordBodyRate(work: RolloutWork, body: BodyProgress): void {
    this.#rollouts.get(work.service)?.recordBodyRate(work, body);
  }

  /**
   * Time in ms after which an answer that has not begun is reported as slow; Infinity for never.
   */
  getSlowMs(work: RolloutWork): number {
    return this.#rollouts.get(work.service)?.getSlowMs(work) ?? Infinity;
  }

  /** Progress of the service's roll-out as known at this daemon; undefined without one. */
  findObservedRollout(service: string): ObservedRollout | undefined {
    const rollout = this.#rollouts.get(service);
    if (rollout === undefined) {
      return undefined;
    }
    const { order, orderVersion, state, elapsed } = rollout;
    const { phase, newShare, sessionShare } = rollout.getPlace(this.#freshness.ageMs);
    return {
      orderVersion,
      toVersion: order.toVersion,
      stage: state === 'running' ? phase : state,
      newShare,
      sessionShare,
      atLeastMs: Math.round(elapsed.atLeastMs),
      atMostMs: Math.round(elapsed.atMostMs),
      storeAgeMs: Math.round(this.#freshness.ageMs),
    };
  }

  /** The version that the session last ran on at this daemon, until it expires. */
  findSessionRun(service: string, { session }: RequestOptions): SessionRun | undefined {
    return session === undefined ? undefined : this.#sessionVersions.find({ service, session });
  }

  /** Records that a request of the session runs or has ended. */
  recordSessionRun({ service, session, softwareVersion, request }: SessionRunReport): void {
    const move = this.#sessionVersions.recordRun({ service, session }, softwareVersion);
    if (move === undefined) {
      return;
    }
    const observed = this.findObservedRollout(service);
    this.#logger.info(
      { event: 'sessionMoved', request, ...move, rollout: observed },
      'session changed its software version',
    );
    this.#countSessionMove(observed?.stage ?? 'none');
  }

  /** Returns the upstreams that this request may go to. */
  filterUpstreams(
    service: string,
    options: RequestOptions,
    entries: readonly UpstreamEntry[],
  ): readonly UpstreamEntry[] {
    const rollout = this.#rollouts.get(service);
    if (rollout === undefined) {
      return entries;
    }
    const query = this.#createQuery(rollout, options);
    const left = filterByVersion(query, entries);
    const isNew = ({ upstream }: UpstreamEntry): boolean =>
      upstream.softwareVersion === query.toVersion;
    if (query.place.newShare === 1 && !left.some(isNew)) {
      rollout.resetFullShare();
    }
    return left;
  }

  /**
   * Time until the session expires unless it runs again, if all ready upstreams of its version are in
   * evacuated data centres; undefined otherwise.
   */
  findSessionExpiryWaitMs(
    service: string,
    options: RequestOptions,
    entries: readonly UpstreamEntry[],
  ): number | undefined {
    const rollout = this.#rollouts.get(service);
    const run = this.findSessionRun(service, options);
    const isVersionEvacuated =
      rollout !== undefined &&
      isSessionVersionEvacuated(this.#createQuery(rollout, options), entries);
    return run && isVersionEvacuated ? this.#sessionVersions.getRemainingMs(run) : undefined;
  }

  #createQuery(rollout: ServiceRollout, options: RequestOptions): VersionQuery {
    const { service, toVersion } = rollout.order;
    const ranOn = this.findSessionRun(service, options)?.softwareVersion;
    return {
      state: rollout.state,
      toVersion,
      fromVersion: rollout.fromVersion,
      place: rollout.getPlace(this.#freshness.ageMs),
      ranOn,
      options,
      hasEvacuatedUpstreams: ranOn === toVersion && this.#hasEvacuatedUpstreams(service, toVersion),
    };
  }

  #updateRollout(service: string): void {
    const rollout = this.#rollouts.get(service);
    const known = this.#statuses.get(service);
    if (rollout === undefined || known === undefined) {
      return;
    }
    const before = rollout.state;
    rollout.takeStatus(known.status, known.rowVersion);
    if (before !== rollout.state) {
      this.#logState(rollout, 'store');
    }
  }

  #handleBadAnswer(rollout: ServiceRollout, answer: RolloutWork): void {
    this.#logger.info(
      { event: 'badCandidateAnswer', ...answer, candidate: rollout.stats.candidate },
      'bad answer of the new version',
    );
    this.#judge(rollout);
    this.#onBadAnswer(rollout);
  }

  #judge(rollout: ServiceRollout | undefined): void {
    if (rollout?.judge()) {
      this.#logState(rollout, 'evidence');
    }
  }

  #logState(rollout: ServiceRollout, source: string): void {
    const { order, state, stats } = rollout;
    this.#logger.info(
      {
        event: 'rolloutState',
        service: order.service,
        toVersion: order.toVersion,
        state,
        source,
        candidate: stats.candidate,
        present: stats.present,
        fleet: describeCounts(rollout.fleetCounts),
        storeAgeMs: Math.round(this.#freshness.ageMs),
      },
      'roll-out state changed',
    );
  }
}
