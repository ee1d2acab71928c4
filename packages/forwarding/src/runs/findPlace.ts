/** Turns the directory's entries into candidates and lets the policy choose among them. */
import { choosePlace, type PlaceCandidate } from '@snipehaven/policy';
import type { ForwardRoute, RequestOptions } from '../types.js';
import type { UpstreamEntry } from '../upstreams/index.js';
import type { ForwardDependencies } from './dependencies.js';
import { estimateWork } from './estimateWork.js';

export interface PlaceQuestion {
  readonly service: string;
  readonly route: ForwardRoute;
  readonly options: RequestOptions;
  readonly model: string | undefined;
  readonly usedUpstreams: ReadonlySet<string>;
}

export interface Place {
  readonly entry: UpstreamEntry;
  readonly work: number;
}

const toCandidate = (entry: UpstreamEntry, nowMs: number): PlaceCandidate => ({
  id: entry.id,
  dataCentre: entry.upstream.dataCentre,
  load: entry.load,
  failureShare: entry.failureShare,
  isSuspect: entry.isSuspect(nowMs),
});

/** The last part that other requests share, for the model that is to read it. */
const getAffinityKey = ({ options, model }: PlaceQuestion): string | undefined => {
  const shared = options.promptParts.at(-2);
  return shared === undefined ? undefined : `${model ?? ''}|${shared.id}`;
};

export const findPlace = (
  dependencies: ForwardDependencies,
  question: PlaceQuestion,
): Place | undefined => {
  const { directory, rollouts, random, localDataCentre, configuration } = dependencies;
  const ready = rollouts.narrow(
    question.service,
    question.options,
    directory.listReady(question.service),
  );
  const unused = ready.filter((entry) => !question.usedUpstreams.has(entry.id));
  const entries = unused.length > 0 ? unused : ready;
  const affinityKey = getAffinityKey(question);
  const nowMs = performance.now();
  const chosen = choosePlace({
    candidates: entries.map((entry) => toCandidate(entry, nowMs)),
    localDataCentre,
    random: random.next(),
    ...(affinityKey === undefined ? {} : { affinityKey }),
  });
  const entry = chosen && directory.find(chosen.id);
  if (entry === undefined) {
    return undefined;
  }
  const service = configuration.table?.findService(question.service);
  return { entry, work: estimateWork(question.route, service, question.options, question.model) };
};
