/** How well VMs serve while nothing is disturbed. Healthy upstreams, too, fail some requests. */
import { LEAST_CALM_SHARE } from '../constants.js';
import { USUAL_FAILURE_SHARE } from '../outside/backEnds.js';
import { isSuccess, type Evidence } from './evidence.js';

export interface CalmService {
  readonly name: string;
  readonly sent: number;
  readonly served: number;
  /** Not served, and an upstream failed them at the usual rate. */
  readonly usualFailures: number;
}

/** A request may use two upstreams: a small model and then the largest one, or a retry. */
const MAX_CHANCE_FAILURE_SHARE = 2 * USUAL_FAILURE_SHARE;

/** Failures that are less probable than this are not put down to chance. */
const LEAST_PROBABILITY = 0.01;

/** Probability of at least `failures` among `count` independent requests. */
export const getTailProbability = (count: number, failures: number, share: number): number => {
  let term = (1 - share) ** count;
  let below = 0;
  for (let index = 0; index < failures; index += 1) {
    below += term;
    term *= ((count - index) / (index + 1)) * (share / (1 - share));
  }
  return 1 - below;
};

const isBeyondChance = ({ sent, served }: CalmService): boolean =>
  getTailProbability(sent, sent - served, MAX_CHANCE_FAILURE_SHARE) < LEAST_PROBABILITY;

const isBelowLeastShare = (served: number, sent: number): boolean =>
  served < sent * LEAST_CALM_SHARE;

/** Usual failures are left out of the share, as long as chance explains their number. */
export const isServing = (service: CalmService): boolean => {
  const { sent, served, usualFailures } = service;
  return !isBelowLeastShare(served, sent - usualFailures) && !isBeyondChance(service);
};

const countService = ({ world, attempts, healedAtMs }: Evidence): readonly CalmService[] => {
  const failedUsually = new Set(
    world.backEnds.arrivals
      .filter(({ isUsualFailure }) => isUsualFailure)
      .map(({ attemptId }) => attemptId),
  );
  return world.fleet.vms.map(({ name }) => {
    const mine = attempts.filter(
      ({ vm, sentAtMs, cancelledAtMs }) =>
        vm === name && sentAtMs > healedAtMs && cancelledAtMs === undefined,
    );
    const failed = mine.filter((attempt) => !isSuccess(attempt));
    return {
      name,
      sent: mine.length,
      served: mine.length - failed.length,
      usualFailures: failed.filter(({ id }) => failedUsually.has(id)).length,
    };
  });
};

const sum = (counts: readonly number[]): number =>
  counts.reduce((total, count) => total + count, 0);

const describe = ({ name, sent, served, usualFailures }: CalmService): string =>
  `${name} serves ${served} of ${sent}, ${usualFailures} failed by healthy upstreams,`;

/** A line for each VM that does not serve enough. Of the fleet, all failures count. */
export const listUnservedVms = (evidence: Evidence): readonly string[] => {
  const services = countService(evidence);
  const fleet = {
    name: 'the fleet',
    sent: sum(services.map(({ sent }) => sent)),
    served: sum(services.map(({ served }) => served)),
    usualFailures: sum(services.map(({ usualFailures }) => usualFailures)),
  };
  const unserved = services.filter((service) => !isServing(service));
  const isFleetUnserved = isBelowLeastShare(fleet.served, fleet.sent);
  return [...unserved, ...(isFleetUnserved ? [fleet] : [])].map(describe);
};
