/** Our roll-out, driven by the policy package as a holder and its daemons would. */
import { asId, type IncarnationId, type Random, type VersionId } from '@snipehaven/common';
import {
  applyVerdict,
  assignRollout,
  evaluateGuard,
  planGrants,
  startProgress,
  type DaemonExposure,
  type ExposureGrant,
  type RolloutDefinition,
  type RolloutProgress,
  type RolloutSettings,
} from '@snipehaven/policy';
import {
  toStable,
  type RolloutEnd,
  type RolloutPolicy,
  type RolloutRoute,
  type RolloutRun,
  type RolloutView,
} from './rolloutPolicies.js';

/** Points of the mean rating; about a tenth of the stable version's failures. */
const ACCEPTED_WORSENING_PCT = 0.6;

/** The roll-out that every scenario declares. */
const definition: RolloutDefinition = {
  rolloutId: 'rollout#1',
  stableVersion: asId<VersionId>('model@1'),
  candidateVersion: asId<VersionId>('model@2'),
  stages: [1, 10, 50, 100].map((sharePct) => ({ sharePct, minRatings: 30 })),
  exposureBudget: 20,
  maxFailureIncreasePct: ACCEPTED_WORSENING_PCT,
  isPaused: false,
};

const audience = { isStrict: false, allowsExploration: true, allowsCascade: true };

const TICK_MS = 1_000;
/** A new state or grant reaches the daemons after this many ticks. */
const SPREAD_TICKS = 2;
/** With much evidence the holder looks less often. */
const SLOW_LOOK_RATINGS = 300;
const SLOW_LOOK_TICKS = 10;

const noRandom = { nextInt: () => 0 };

const isUndecided = ({ phase }: RolloutProgress): boolean =>
  phase === 'shadow' || phase === 'running';

/** The holder's and the daemons' state of one run. */
class OwnRun implements RolloutRun {
  readonly #settings: RolloutSettings;

  readonly #incarnations: readonly IncarnationId[];

  /** What the holder has decided. */
  #progress: RolloutProgress;

  /** What the daemons know. */
  #known: RolloutProgress;

  #knownFromTick = 0;

  readonly #granted: number[];

  #grants = new Map<number, ExposureGrant>();

  #nextGrants: Map<number, ExposureGrant> | undefined;

  constructor(daemonCount: number, settings: RolloutSettings) {
    this.#settings = settings;
    this.#progress = startProgress(definition, 1, 0, settings);
    this.#known = this.#progress;
    this.#incarnations = Array.from({ length: daemonCount }, (_, index) =>
      asId<IncarnationId>(`vm${index}#1`),
    );
    this.#granted = new Array<number>(daemonCount).fill(0);
  }

  advance(view: RolloutView): void {
    this.#spread(view.tick);
    if (view.ratingCount > SLOW_LOOK_RATINGS && view.tick % SLOW_LOOK_TICKS !== 0) {
      return;
    }
    if (isUndecided(this.#progress)) {
      this.#look(view);
    }
    if (this.#progress.phase === 'running' && view.tick % SPREAD_TICKS === 0) {
      this.#grant(view);
    }
  }

  route(daemon: number, nextRandom: number, view: RolloutView): RolloutRoute {
    const grant = this.#grants.get(daemon);
    if (!grant && this.#known.phase === 'running') {
      return toStable;
    }
    const random: Random = { ...noRandom, next: () => nextRandom };
    const assignment = assignRollout({
      definition,
      progress: this.#known,
      ...(grant ? { grant } : {}),
      exposedCount: view.exposed[daemon] ?? 0,
      expectedAnswers: 1,
      isIdempotent: true,
      audience,
      isRaterUp: true,
      random,
      settings: this.#settings,
    });
    const isShadow = assignment.shadowVersion !== undefined;
    return { isCandidate: assignment.isCandidate, isShadow };
  }

  getEnd(): RolloutEnd | undefined {
    const { phase } = this.#known;
    return phase === 'finished' || phase === 'quarantined' ? phase : undefined;
  }

  #spread(tick: number): void {
    if (this.#known !== this.#progress && tick >= this.#knownFromTick) {
      this.#known = this.#progress;
    }
    if (this.#nextGrants && tick % SPREAD_TICKS === 0) {
      this.#grants = this.#nextGrants;
      this.#nextGrants = undefined;
    }
  }

  #look(view: RolloutView): void {
    const strata = view.candidate.map((candidate, index) => ({
      candidate,
      stable: view.stable[index]!,
    }));
    const input = {
      definition,
      progress: this.#progress,
      strata,
      pairCounts: view.pairCounts,
      settings: this.#settings,
    };
    const next = applyVerdict(
      definition,
      this.#progress,
      evaluateGuard(input),
      view.tick * TICK_MS,
    );
    if (next !== this.#progress) {
      this.#progress = next;
      this.#knownFromTick = view.tick + SPREAD_TICKS;
    }
  }

  #grant(view: RolloutView): void {
    const daemons = this.#incarnations.map((incarnation, index): DaemonExposure => ({
      incarnation,
      isLive: true,
      grantedCount: this.#granted[index] ?? 0,
      exposedCount: view.exposed[index] ?? 0,
      judgedCount: view.judged[index] ?? 0,
    }));
    const grants = planGrants({
      definition,
      progress: this.#progress,
      daemons,
      ratingCount: view.ratingCount,
      settings: this.#settings,
    });
    this.#nextGrants = new Map(
      grants.map((grant) => {
        const index = this.#incarnations.indexOf(grant.incarnation);
        this.#granted[index] = grant.grantedCount;
        return [index, grant];
      }),
    );
  }
}

/** Our roll-out under the given settings. */
export const createOwnRollout = (name: string, settings: RolloutSettings): RolloutPolicy => ({
  name,
  createRun: (daemonCount) => new OwnRun(daemonCount, settings),
});
