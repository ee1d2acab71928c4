/** Chooses the versions that answer a chat request, in the order in which they are tried. */
import { asId, getModelOfVersion, type VersionId } from '@snipehaven/common';
import {
  defaultChoiceSettings,
  planRequest,
  type PlanStep,
  type RequestPlan,
  type TeamChoiceSettings,
  type VersionCandidate,
} from '@snipehaven/policy';
import type { Resource } from '@snipehaven/resources';
import type { ModelAssignment } from '@snipehaven/rollouts';
import { estimateCompletionTokens, estimatePromptTokens } from './chatBody.js';
import { AUTO_MODEL, RATING_COST_MICRO_USD, RATING_EXPECTED_MS } from './constants.js';
import type { RoutingDependencies } from './dependencies.js';
import type { SessionState } from './sessionResolver.js';
import { listAllowedVersions } from './teamDirectory.js';
import type { ChatRequest } from './types.js';

export interface PlanChatInput {
  readonly request: ChatRequest;
  readonly session: SessionState;
  readonly promptText: string;
  /** Versions that were found to have no upstream with capacity. */
  readonly excluded: readonly VersionId[];
}

export interface ChatPlan {
  readonly steps: readonly PlanStep[];
  readonly reason: RequestPlan['reason'] | 'rollout';
  readonly expectedCostMicroUsd: number;
  readonly shouldRateAfterRelease: boolean;
  /** A version that answers as a shadow of the request. */
  readonly shadowVersion?: VersionId;
  /**
   * A roll-out's candidate that answers as a shadow, for comparison with the stable version's
   * answer.
   */
  readonly pair?: PlannedPair;
}

/** Versions whose answers to one request are rated as a pair. */
export interface PlannedPair {
  readonly stableVersion: VersionId;
  readonly candidateVersion: VersionId;
}

/** Roll-outs do not apply to a caller that names `model@version`. */
const VERSION_SEPARATOR = '@';

type VersionResource = Resource<'ModelVersion'>;

const getVersion = (resource: VersionResource): VersionId =>
  asId<VersionId>(resource.metadata.name);

/** Whether the `model` field of a body selects the version. */
export const matchesRequestedModel = (requestedModel: string, version: VersionId): boolean =>
  requestedModel === AUTO_MODEL ||
  requestedModel === version ||
  requestedModel === getModelOfVersion(version);

/** The team's settings for the task of the request. */
export const getChoiceSettings = (
  request: ChatRequest,
  isSingleRun: boolean,
): TeamChoiceSettings => {
  const { spec } = request.identity.team;
  const task = spec.tasks[request.options.task];
  return {
    qualityTarget: task?.qualityTarget ?? spec.qualityTarget,
    isStrict: task?.isStrict ?? false,
    allowsCascade: spec.allowsCascade && !isSingleRun,
    allowsExploration: spec.allowsExploration && !isSingleRun,
    weights: spec.weights,
  };
};

/** No cascade for a request that may run only once, or whose session is pinned before it runs. */
const isSingleRun = ({ options }: ChatRequest): boolean =>
  !options.isIdempotent || options.callerSession !== undefined;

const listUsable = (
  input: PlanChatInput,
  deps: RoutingDependencies,
): readonly VersionResource[] => {
  const { team } = input.request.identity;
  return listAllowedVersions(deps.configuration.getView(), team).filter((resource) => {
    const version = getVersion(resource);
    return (
      matchesRequestedModel(input.request.body.model, version) &&
      !deps.safeMoves.isVersionBlocked(version) &&
      !input.excluded.includes(version) &&
      deps.registry.hasVersion(version)
    );
  });
};

const assignModels = (
  input: PlanChatInput,
  choice: TeamChoiceSettings,
  usable: readonly VersionResource[],
  deps: RoutingDependencies,
): readonly ModelAssignment[] => {
  const namesVersion = input.request.body.model.includes(VERSION_SEPARATOR);
  if (input.session.kind === 'pinned' || namesVersion) {
    return [];
  }
  const models = new Set(usable.map((resource) => getModelOfVersion(getVersion(resource))));
  return [...models].flatMap((model) => {
    const assignment = deps.assigner.assign(model, {
      isStrict: choice.isStrict,
      allowsExploration: choice.allowsExploration,
      allowsCascade: choice.allowsCascade,
      isSession: input.request.options.callerSession !== undefined,
      isIdempotent: input.request.options.isIdempotent,
      requestId: input.request.requestId,
      usableVersions: usable.map(getVersion),
    });
    return assignment ? [assignment] : [];
  });
};

const toCandidate = (
  resource: VersionResource,
  input: PlanChatInput,
  deps: RoutingDependencies,
): VersionCandidate => {
  const { spec } = resource;
  const version = getVersion(resource);
  const { task } = input.request.options;
  const subject = { team: input.request.identity.team.metadata.name, task, version };
  const prior = {
    quality: spec.priorQualityByTask[task] ?? spec.priorQuality,
    weight: spec.priorWeight,
  };
  return {
    version,
    inputMicroUsdPerMillionTokens: spec.inputMicroUsdPerMillionTokens,
    outputMicroUsdPerMillionTokens: spec.outputMicroUsdPerMillionTokens,
    evidence: deps.evidence.getEvidence({ ...subject, isEscalated: false }, prior),
    ...deps.latency.get(version),
    isPinned: input.session.kind === 'pinned',
  };
};

const listCandidates = (
  input: PlanChatInput,
  usable: readonly VersionResource[],
  assignments: readonly ModelAssignment[],
): readonly VersionResource[] => {
  const { session } = input;
  if (session.kind === 'pinned') {
    return usable.filter((resource) => getVersion(resource) === session.pin.version);
  }
  const hidden = new Set(assignments.flatMap((assignment) => assignment.hidden));
  return usable.filter((resource) => !hidden.has(getVersion(resource)));
};

/**
 * A gated candidate answers first and is rated; if its score is too low, the stable version
 * answers.
 */
const toGatedSteps = (assignment: ModelAssignment): readonly PlanStep[] => [
  {
    version: assignment.candidateVersion,
    acceptAboveScore: defaultChoiceSettings.explorationAcceptScore,
  },
  { version: assignment.stableVersion },
];

/**
 * Pairs only if the stable version is asked first, since that does not depend on an answer's score.
 */
const findPair = (
  plan: RequestPlan,
  assignments: readonly ModelAssignment[],
): PlannedPair | undefined =>
  assignments.find(
    ({ shadowVersion, stableVersion }) =>
      shadowVersion !== undefined && plan.steps[0]?.version === stableVersion,
  );

const applyRollout = (plan: RequestPlan, assignments: readonly ModelAssignment[]): ChatPlan => {
  const gated = assignments.find(
    (assignment) => assignment.isGated && plan.steps[0]?.version === assignment.candidateVersion,
  );
  const mustRate = assignments.some(
    (assignment) =>
      assignment.shouldRate === true &&
      plan.steps.some((step) => step.version === assignment.candidateVersion),
  );
  const pair = findPair(plan, assignments);
  const rated = {
    ...plan,
    shouldRateAfterRelease: mustRate || plan.shouldRateAfterRelease,
    ...(pair === undefined ? {} : { pair }),
  };
  return gated ? { ...rated, reason: 'rollout', steps: toGatedSteps(gated) } : rated;
};

/** Plans a request; the plan has no steps if no version that the team may use can answer. */
export const planChat = (input: PlanChatInput, deps: RoutingDependencies): ChatPlan => {
  const { request } = input;
  const choice = getChoiceSettings(request, isSingleRun(request));
  const usable = listUsable(input, deps);
  const assignments = assignModels(input, choice, usable, deps);
  const candidates = listCandidates(input, usable, assignments);
  const plan = planRequest({
    task: request.options.task,
    team: choice,
    candidates: candidates.map((resource) => toCandidate(resource, input, deps)),
    promptTokens: estimatePromptTokens(input.promptText),
    expectedCompletionTokens: estimateCompletionTokens(request.body),
    ratingCostMicroUsd: RATING_COST_MICRO_USD,
    ratingMs: RATING_EXPECTED_MS,
    remainingMs: request.options.deadlineAtMs - Date.now(),
    isRaterUp: deps.evidence.isRaterUp(),
    isIdempotent: request.options.isIdempotent,
    random: deps.random,
  });
  return applyRollout(plan, assignments);
};
