/** Runs one policy's roll-out of one candidate, second by second. */
import type { Random } from '@snipehaven/common';
import { drawPoisson } from '../world/sampling.js';
import { createSeededRandom } from '../world/seededRandom.js';
import { drawAnswer, drawRolloutPrompt, stableModel, type AnswerModel } from './answerModel.js';
import { addStableAnswers, CandidateLedger, createStableCounts } from './candidateLedger.js';
import type { RolloutEnd, RolloutPolicy, RolloutView } from './rolloutPolicies.js';

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
  readonly end: RolloutEnd | undefined;
  readonly endTick: number;
}

const STRATA = stableModel.badShares.map((_, index) => index);
const STABLE_HISTORY = 500;
const STABLE_RATING_SHARE = 0.02;
/** Below this score a gated answer is replaced. */
const GATE_SCORE = 0.6;

const drawStable = (count: number, stratum: number, random: Random) =>
  Array.from({ length: count }, () =>
    drawAnswer(stableModel, drawRolloutPrompt(stratum, random), random),
  );

/** Runs the roll-out to its end, or to the horizon; a finished one exposes all later requests. */
export const simulateRollout = (world: RolloutWorld, policy: RolloutPolicy): RolloutResult => {
  const random = createSeededRandom(world.seed);
  const run = policy.createRun(world.daemonCount);
  const ledger = new CandidateLedger(STRATA.length, world.daemonCount);
  const stable = STRATA.map(createStableCounts);
  const exposed = new Array<number>(world.daemonCount).fill(0);
  STRATA.forEach((stratum) => {
    addStableAnswers(stable[stratum]!, drawStable(STABLE_HISTORY, stratum, random));
  });
  let released = 0;
  for (let tick = 0; tick < world.horizonTicks; tick += 1) {
    ledger.advance(tick);
    const view: RolloutView = {
      tick,
      daemonCount: world.daemonCount,
      candidate: ledger.counts,
      stable,
      ratingCount: ledger.ratingCount,
      exposed,
      judged: ledger.judged,
    };
    run.advance(view);
    const end = run.getEnd();
    if (end) {
      const later = end === 'finished' ? (world.horizonTicks - tick) * world.requestsPerSecond : 0;
      return { exposed: released + Math.round(later), end, endTick: tick };
    }
    const arrivals = drawPoisson(world.requestsPerSecond, random);
    for (let arrival = 0; arrival < arrivals; arrival += 1) {
      const daemon = random.nextInt(world.daemonCount);
      const route = run.route(daemon, random.next(), view);
      const stratum = random.nextInt(STRATA.length);
      if (route.isCandidate) {
        const answer = drawAnswer(world.candidate, drawRolloutPrompt(stratum, random), random);
        exposed[daemon] = (exposed[daemon] ?? 0) + 1;
        ledger.start(answer, stratum, daemon, route.isGated, tick, random);
        released += route.isGated && answer.score < GATE_SCORE ? 0 : 1;
      } else if (random.next() < STABLE_RATING_SHARE) {
        addStableAnswers(stable[stratum]!, drawStable(1, stratum, random));
      }
    }
  }
  return { exposed: released, end: undefined, endTick: world.horizonTicks };
};
