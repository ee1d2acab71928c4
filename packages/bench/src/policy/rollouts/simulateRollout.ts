/** Runs one policy's roll-out of one candidate, second by second. */
import type { Random } from '@snipehaven/common';
import { drawPoisson } from '../world/sampling.js';
import { createSeededRandom } from '../world/seededRandom.js';
import { drawAnswer, drawRolloutPrompt, stableModel, type AnswerModel } from './answerModel.js';
import { CandidateLedger, GrowingCounts } from './candidateLedger.js';
import type {
  RolloutEnd,
  RolloutPolicy,
  RolloutRoute,
  RolloutRun,
  RolloutView,
} from './rolloutPolicies.js';

/** What is rolled out, and where. */
export interface RolloutWorld {
  readonly candidate: AnswerModel;
  readonly daemonCount: number;
  readonly requestsPerSecond: number;
  readonly horizonTicks: number;
  readonly seed: number;
}

/** How it went. */
export interface RolloutResult {
  /** Candidate answers that reached a caller. */
  readonly exposed: number;
  /** Candidate answers that nobody saw. */
  readonly shadowAnswers: number;
  readonly end: RolloutEnd | undefined;
  readonly endTick: number;
}

const STRATA = stableModel.badShares.map((_, index) => index);
const STABLE_HISTORY = 500;
const STABLE_RATING_SHARE = 0.02;

/** One run's changing state. */
class RolloutSimulation {
  readonly #world: RolloutWorld;

  readonly #random: Random;

  readonly #run: RolloutRun;

  readonly #ledger: CandidateLedger;

  readonly #stable = STRATA.map(() => new GrowingCounts());

  readonly #exposed: number[];

  #tick = 0;

  constructor(world: RolloutWorld, policy: RolloutPolicy) {
    this.#world = world;
    this.#random = createSeededRandom(world.seed);
    this.#run = policy.createRun(world.daemonCount);
    this.#ledger = new CandidateLedger(STRATA.length, world.daemonCount);
    this.#exposed = new Array<number>(world.daemonCount).fill(0);
    STRATA.forEach((stratum) => this.#rateStable(stratum, STABLE_HISTORY));
  }

  simulate(): RolloutResult {
    const { horizonTicks } = this.#world;
    while (this.#tick < horizonTicks) {
      const view = this.#advance();
      if (this.#run.getEnd()) {
        break;
      }
      this.#serve(view);
      this.#tick += 1;
    }
    return this.#getResult();
  }

  #advance(): RolloutView {
    this.#ledger.advance(this.#tick);
    const view = this.#createView();
    this.#run.advance(view);
    return view;
  }

  #createView(): RolloutView {
    return {
      tick: this.#tick,
      daemonCount: this.#world.daemonCount,
      candidate: this.#ledger.counts,
      stable: this.#stable,
      ratingCount: this.#ledger.ratingCount,
      pairCounts: this.#ledger.pairCounts,
      exposed: this.#exposed,
      judged: this.#ledger.judged,
    };
  }

  #serve(view: RolloutView): void {
    const arrivals = drawPoisson(this.#world.requestsPerSecond, this.#random);
    for (let arrival = 0; arrival < arrivals; arrival += 1) {
      const daemon = this.#random.nextInt(this.#world.daemonCount);
      const route = this.#run.route(daemon, this.#random.next(), view);
      const stratum = this.#random.nextInt(STRATA.length);
      this.#answer(route, daemon, stratum);
    }
  }

  #answer(route: RolloutRoute, daemon: number, stratum: number): void {
    const prompt = drawRolloutPrompt(stratum, this.#random);
    if (route.isCandidate) {
      const answer = drawAnswer(this.#world.candidate, prompt, this.#random);
      this.#exposed[daemon] = (this.#exposed[daemon] ?? 0) + 1;
      this.#ledger.start(answer, stratum, daemon, this.#tick, this.#random);
    } else if (route.isShadow) {
      const answer = drawAnswer(this.#world.candidate, prompt, this.#random);
      const stableAnswer = drawAnswer(stableModel, prompt, this.#random);
      this.#ledger.startShadow(answer, stableAnswer, stratum, this.#tick, this.#random);
    } else if (this.#random.next() < STABLE_RATING_SHARE) {
      this.#rateStable(stratum, 1);
    }
  }

  #rateStable(stratum: number, count: number): void {
    const counts = this.#stable[stratum]!;
    for (let index = 0; index < count; index += 1) {
      const prompt = drawRolloutPrompt(stratum, this.#random);
      const answer = drawAnswer(stableModel, prompt, this.#random);
      counts.countEnd(answer);
      counts.countRating(answer.score);
    }
  }

  /** A finished roll-out exposes all later requests. */
  #getResult(): RolloutResult {
    const end = this.#run.getEnd();
    const started = this.#exposed.reduce((sum, count) => sum + count, 0);
    const leftTicks = end === 'finished' ? this.#world.horizonTicks - this.#tick : 0;
    return {
      exposed: started + Math.round(leftTicks * this.#world.requestsPerSecond),
      shadowAnswers: this.#ledger.shadowCount,
      end,
      endTick: this.#tick,
    };
  }
}

/** Runs the roll-out to its end, or to the horizon. */
export const simulateRollout = (world: RolloutWorld, policy: RolloutPolicy): RolloutResult =>
  new RolloutSimulation(world, policy).simulate();
