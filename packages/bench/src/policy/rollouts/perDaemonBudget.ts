/** The trap as a baseline: each daemon may expose a few answers of its own. */
import type { RolloutSettings } from '@snipehaven/policy';
import { createOwnRollout } from './ownRollout.js';
import type { RolloutPolicy, RolloutRun } from './rolloutPolicies.js';

const ANSWERS_PER_DAEMON = 3;
const SHARE = 0.01;

/** The same guard as ours, without a budget over all daemons. */
export const createPerDaemonBudget = (settings: RolloutSettings): RolloutPolicy => {
  const guard = createOwnRollout('guard', { ...settings, shadowSharePct: 0 });
  return {
    name: 'perDaemonBudget',
    createRun: (daemonCount): RolloutRun => {
      const run = guard.createRun(daemonCount);
      return {
        advance: (view) => run.advance(view),
        route: (daemon, nextRandom, view) => {
          const unjudged = (view.exposed[daemon] ?? 0) - (view.judged[daemon] ?? 0);
          const isFree = unjudged < ANSWERS_PER_DAEMON && nextRandom < SHARE;
          return { isCandidate: isFree, isShadow: false };
        },
        getEnd: () => run.getEnd(),
      };
    },
  };
};
