/**
 * Decides which software version a request goes to during a roll-out, and collects the evidence
 * about it.
 */
import type { Logger } from '@snipehaven/common';
import { isMainPhase, type RolloutPosition } from '@snipehaven/policy';
import type { Freshness } from '../configuration/freshness.js';
import type { StoreClock } from '../configuration/storeClock.js';
import type { BadVersionMessage, RolloutCounts, ServiceRolloutCounts } from '../peers/index.js';
import { StoreEra, isSameRevision, type StoreRevision } from '../store/index.js';
import type { RequestOptions, RolloutOrder } from '../types.js';
import type { UpstreamEntry } from '../upstreams/index.js';
import type { AwaitedAnswer } from './answerTimes.js';
import { describeCounts } from './describeCounts.js';
import {
  isAssignedToNewVersion,
  isSessionVersionEvacuated,
  filterByVersion,
  type VersionQuery,
} from './filterByVersion.js';
import { isOfSameOrder, isStatusOf, isWrittenAgain } from './orderIdentity.js';
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
  readonly revision: StoreRevision;
  /** Known to be of an order before the present one. */
  readonly isPrevious: boolean;
}

export interface RolloutTrackerOptions {
  readonly logger: Logger;
  readonly vm: string;
  readonly freshness: Freshness;
  /** Clock offset by which the status row dates the start of a roll-out. */
  readonly clock: StoreClock;
  readonly storeEra?: Pick<StoreEra, 'ageMs'>;
  readonly sessionTtlMs: number;
  /** Share of all requests during a roll-out that a version may get that turns out to be bad. */
  readonly allowedExposure: number;
  /** Requests that such a version may get beyond that share. */
  readonly exposureSlack: number;
  countSessionMove(stage: RolloutStage): void;
  /** The roll-out's answer counts, summed over the reachable peers. */
  findPeerCounts(service: string, orderRevision: StoreRevision): RolloutCounts | undefined;
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

  readonly #storeEra: Pick<StoreEra, 'ageMs'>;

  readonly #rollouts = new Map<string, ServiceRollout>();

  /**
   * Latest status of each service, even if its order is not known yet: orders and statuses arrive
   * on separate feeds in any order, and a starting daemon reads each row once.
   */
  readonly #statuses = new Map<string, KnownStatus>();

  #hasReadStatuses = false;

  readonly #sessionVersions: SessionVersions;

  readonly #countSessionMove: (stage: RolloutStage) => void;

  /** The position of each running roll-out that was logged last. */
  readonly #loggedPlaces = new WeakMap<ServiceRollout, RolloutPosition>();

  #onBadAnswer: (rollout: ServiceRollout) => void = () => {};

  #onOrder: () => void = () => {};

  readonly #allowedExposure: number;

  readonly #exposureSlack: number;

  readonly #findPeerCounts: RolloutTrackerOptions['findPeerCounts'];

  readonly #countUpstreams: RolloutTrackerOptions['countUpstreams'];

  readonly #hasEvacuatedUpstreams: RolloutTrackerOptions['hasEvacuatedUpstreams'];

  constructor(options: RolloutTrackerOptions) {
    this.#logger = options.logger;
    this.#vm = options.vm;
    this.#freshness = options.freshness;
    this.#clock = options.clock;
    this.#storeEra = options.storeEra ?? new StoreEra();
    this.#sessionVersions = new SessionVersions(options.sessionTtlMs);
    this.#countSessionMove = options.countSessionMove;
    this.#allowedExposure = options.allowedExposure;
    this.#exposureSlack = options.exposureSlack;
    this.#countUpstreams = (service, version) => options.countUpstreams(service, version);
    this.#hasEvacuatedUpstreams = (service, version) =>
      options.hasEvacuatedUpstreams(service, version);
    this.#findPeerCounts = (service, orderRevision) =>
      options.findPeerCounts(service, orderRevision);
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

  /** Registers a listener for new orders, and for statuses that the store may have lost. */
  onOrder(listener: () => void): void {
    this.#onOrder = listener;
  }

  /** `givenWithinMs`: upper bound of the order's age; undefined if this daemon cannot know it. */
  applyOrder(
    order: RolloutOrder,
    orderRevision: StoreRevision,
    givenWithinMs: number | undefined,
  ): void {
    const known = this.#rollouts.get(order.service);
    if (known !== undefined && isSameRevision(known.orderRevision, orderRevision)) {
      return;
    }
    if (known !== undefined && this.#isWrittenAgain(known, order, orderRevision)) {
      const before = known.orderRevision;
      known.renew(orderRevision);
      this.#updateRollout(order.service);
      this.#logger.info(
        { event: 'rolloutOrderRenewed', ...order, orderRevision, before, state: known.state },
        'the operator has written a known roll-out order again',
      );
      return;
    }
    this.#markStatusPrevious(known);
    const rollout = new ServiceRollout({
      order,
      orderRevision,
      givenWithinMs,
      clock: this.#clock,
      allowedExposure: this.#allowedExposure,
      exposureSlack: this.#exposureSlack,
      findPeerCounts: (revision) => this.#findPeerCounts(order.service, revision),
      countUpstreams: () => this.#countUpstreams(order.service, order.toVersion),
    });
    this.#rollouts.set(order.service, rollout);
    this.#updateRollout(order.service);
    this.#onOrder();
    this.#logger.info(
      { event: 'rolloutOrdered', ...order, orderRevision, givenWithinMs },
      'roll-out ordered',
    );
  }

  removeOrder(service: string): void {
    this.#rollouts.delete(service);
  }

  applyStatus(status: RolloutStatus, revision: StoreRevision): void {
    const known = this.#statuses.get(status.service);
    const isPrevious = known?.isPrevious === true && isOfSameOrder(known.status, status);
    this.#statuses.set(status.service, { status, revision, isPrevious });
    this.#updateRollout(status.service);
  }

  /**
   * The store has come back from a copy that has the statuses of these services only; the others,
   * and this daemon's evidence, are to be written again. `era`: of the read that shows this.
   */
  retainStatuses(services: readonly string[], era: number): void {
    [...this.#statuses.keys()]
      .filter((service) => !services.includes(service))
      .forEach((service) => this.#statuses.delete(service));
    for (const [service, rollout] of this.#rollouts) {
      if (!services.includes(service)) {
        rollout.takeNoStatus(era);
      }
      if (rollout.state === 'running' && rollout.stats.candidate.bad > 0) {
        this.#onBadAnswer(rollout);
      }
    }
    this.#onOrder();
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
  receiveBadVersion({ service, orderRevision }: BadVersionMessage): void {
    const rollout = this.#rollouts.get(service);
    const isMeant = rollout !== undefined && isSameRevision(rollout.orderRevision, orderRevision);
    if (isMeant && rollout.rollBack()) {
      this.#logState(rollout, 'daemon');
    }
  }

  /** This daemon's counts to share with its peers, for roll-outs whose final state is not stored yet. */
  get ownCounts(): readonly ServiceRolloutCounts[] {
    return [...this.#rollouts.values()]
      .filter(({ isStoredStateFinal }) => !isStoredStateFinal)
      .map(({ order, orderRevision, ownCounts }) => ({
        service: order.service,
        orderRevision,
        ...ownCounts,
      }));
  }

  /** Re-evaluates all roll-outs with the latest counts of the peers. */
  judgeAll(): void {
    for (const rollout of this.#rollouts.values()) {
      this.#judge(rollout);
      this.#logStep(rollout);
    }
  }

  /** Starts to time an answer; returns nothing unless a roll-out is running. */
  startAnswer(
    work: RolloutWork,
    expected: Pick<AwaitedAnswer, 'expectedMs' | 'isUpstreamSilent'>,
  ): AwaitedAnswer | undefined {
    return this.#rollouts.get(work.service)?.startAnswer(work, expected);
  }

  /** The answer has begun. */
  finishAnswer({ service }: RolloutWork, answer: AwaitedAnswer): void {
    this.#rollouts.get(service)?.times.finish(answer);
  }

  /** Nobody waits for the answer any more. */
  abandonAnswer({ service }: RolloutWork, answer: AwaitedAnswer): void {
    this.#rollouts.get(service)?.times.abandon(answer);
  }

  /** The request did not run, or its outcome is no matter of time. */
  dropAnswer({ service }: RolloutWork, answer: AwaitedAnswer): void {
    this.#rollouts.get(service)?.times.drop(answer);
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

  /** Records how long an answer, or a part of it, took; to be called once per answer. */
  recordBodyTime(work: RolloutWork, body: BodyProgress): void {
    this.#rollouts.get(work.service)?.recordBodyTime(work, body);
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
    const { order, orderRevision, state, elapsed } = rollout;
    const { phase, newShare, sessionShare } = rollout.getPlace(this.#freshness.ageMs);
    return {
      orderRevision,
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
    if (isMainPhase(query.place.phase) && isAssignedToNewVersion(query) && !left.some(isNew)) {
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
    const { status, revision, isPrevious } = known;
    const { order, orderRevision, state: before } = rollout;
    if (isPrevious || !isStatusOf(status, { order, revision: orderRevision })) {
      rollout.takePreviousStatus(status, revision);
      return;
    }
    rollout.takeStatus(status, revision);
    if (before !== rollout.state) {
      this.#logState(rollout, 'store');
    }
  }

  #isWrittenAgain(
    { order, orderRevision }: ServiceRollout,
    written: RolloutOrder,
    revision: StoreRevision,
  ): boolean {
    const known = { order, revision: orderRevision };
    return isWrittenAgain(known, { order: written, revision }, this.#storeEra.ageMs);
  }

  /** The known status may be of the order that a new one replaces, also if both name one version. */
  #markStatusPrevious(replaced: ServiceRollout | undefined): void {
    const service = replaced?.order.service ?? '';
    const known = this.#statuses.get(service);
    if (replaced === undefined || known === undefined) {
      return;
    }
    const { order, orderRevision } = replaced;
    if (isStatusOf(known.status, { order, revision: orderRevision })) {
      this.#statuses.set(service, { ...known, isPrevious: true });
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

  /** Logs what is known of both versions when the share of the new one changes. */
  #logStep(rollout: ServiceRollout): void {
    const { order, orderRevision, state, elapsed, stats } = rollout;
    const place = rollout.getPlace(this.#freshness.ageMs);
    const known = this.#loggedPlaces.get(rollout);
    const isSame = known?.newShare === place.newShare && known.sessionShare === place.sessionShare;
    if (state !== 'running' || isSame) {
      return;
    }
    this.#loggedPlaces.set(rollout, place);
    this.#logger.info(
      {
        event: 'rolloutStep',
        service: order.service,
        toVersion: order.toVersion,
        orderRevision,
        ...place,
        atLeastMs: Math.round(elapsed.atLeastMs),
        candidate: stats.candidate,
        present: stats.present,
        fleet: describeCounts(rollout.fleetCounts),
        slowness: rollout.slownessEvidence,
        storeAgeMs: Math.round(this.#freshness.ageMs),
      },
      'share of the new version changed',
    );
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
        slowness: rollout.slownessEvidence,
        storeAgeMs: Math.round(this.#freshness.ageMs),
      },
      'roll-out state changed',
    );
  }
}
