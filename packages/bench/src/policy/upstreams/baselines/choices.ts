/** The baselines' ways to choose an upstream. */
import type { UpstreamChoiceInput, UpstreamView } from '@snipehaven/policy';
import type { ChooseFunction } from '../types.js';

const listOpen = ({ upstreams, excludedIds }: UpstreamChoiceInput): readonly UpstreamView[] =>
  upstreams.filter((upstream) => !upstream.isLeaving && !excludedIds?.includes(upstream.id));

const getReported = (upstream: UpstreamView): number =>
  upstream.reportedRunning + upstream.reportedQueued;

/** Each daemon goes round on its own, from a place of its own. */
export const createRoundRobin = (daemonIndex: number): ChooseFunction => {
  let turn = daemonIndex;
  return (input) => {
    const open = listOpen(input);
    turn += 1;
    return open[turn % open.length]?.id;
  };
};

/** The least reported load; own requests count only between equals. */
export const createLeastReportedLoad = (): ChooseFunction => (input) =>
  listOpen(input).reduce<UpstreamView | undefined>((best, upstream) => {
    if (best === undefined) {
      return upstream;
    }
    const difference = getReported(upstream) - getReported(best);
    return difference < 0 || (difference === 0 && upstream.inFlight < best.inFlight)
      ? upstream
      : best;
  }, undefined)?.id;

/** Two at random, the smaller reported load plus own requests since. */
export const createPlainTwoChoices = (): ChooseFunction => (input) => {
  const open = listOpen(input);
  const first = open[input.random.nextInt(open.length)];
  const second = open[input.random.nextInt(open.length)];
  if (first === undefined || second === undefined) {
    return undefined;
  }
  const getLoad = (upstream: UpstreamView): number =>
    getReported(upstream) + upstream.sentSinceReport;
  return getLoad(second) < getLoad(first) ? second.id : first.id;
};
