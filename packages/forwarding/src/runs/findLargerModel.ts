/**
 * Decides whether a low-confidence answer is escalated to a larger model, which one, and at what
 * cost.
 */
import { chooseNextModel, isAlwaysSure } from '@snipehaven/policy';
import type { CallerRequest } from './callerRequest.js';
import type { ForwardDependencies } from './dependencies.js';
import { findPlacement } from './findPlacement.js';
import type { ResolvedRequest } from './resolveRequest.js';

interface StartEstimate {
  readonly waitMs: number;
  readonly meanWaitMs: number;
  readonly expectedStartMs: number;
}

export interface LargerModel extends StartEstimate {
  readonly model: string;
}

export interface EscalationInput {
  readonly request: CallerRequest;
  readonly resolved: ResolvedRequest;
  readonly service: string;
  readonly model: string | undefined;
  /** Reported by the model with its answer, 0 to 100. */
  readonly confidence: number | undefined;
  readonly usedUpstreams: ReadonlySet<string>;
  readonly canAttemptAgain: boolean;
}

/**
 * Queueing time at the best upstream for the largest model, and the expected start of its answer
 * there.
 */
const estimateStart = (
  dependencies: ForwardDependencies,
  { request: { options }, resolved: { route }, service, usedUpstreams }: EscalationInput,
): StartEstimate => {
  const model = route.models.at(-1);
  const query = { service, route, options, model, usedUpstreams, fullUpstreams: new Set<string>() };
  const placement = findPlacement(dependencies, query);
  const pace = dependencies.getWorkPace(service);
  // Whether an upstream that turns few requests away has a place is known only once it is borrowed.
  return placement === undefined || dependencies.places.isNeeded(placement.entry)
    ? { waitMs: Infinity, meanWaitMs: Infinity, expectedStartMs: Infinity }
    : {
        waitMs: pace.estimateMs(placement.entry.backlog),
        meanWaitMs: pace.estimateMs(placement.meanBacklog),
        expectedStartMs: pace.estimateStartMs(placement.workAhead),
      };
};

/** Returns undefined when the current answer should go to the caller. */
export const findLargerModel = (
  dependencies: ForwardDependencies,
  answer: EscalationInput,
): LargerModel | undefined => {
  const { request, resolved, model: currentModel, confidence, canAttemptAgain } = answer;
  const { route, team } = resolved;
  if (
    currentModel === undefined ||
    currentModel === route.models.at(-1) ||
    confidence === undefined
  ) {
    return undefined;
  }
  const priority = team?.priority ?? route.priority;
  if (isAlwaysSure(confidence, priority)) {
    return undefined;
  }
  const start = estimateStart(dependencies, answer);
  const model = chooseNextModel(
    {
      models: route.models,
      confidence,
      onTimeLeftMs: request.arrivedAtMs + route.targetLatencyMs - performance.now(),
      ...start,
      priority,
      canAttemptAgain,
    },
    currentModel,
  );
  return model === undefined ? undefined : { ...start, model };
};
