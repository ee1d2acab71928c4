/** Sizes and bounds of the proof of roll-outs. */
import type { RolloutSpec } from '@snipehaven/resources';

export const MODEL = 'scribe';
export const STABLE_VERSION = 'scribe@1';
export const CANDIDATE_VERSION = 'scribe@3';
export const ROLLOUT_NAME = 'scribe-3';

export const DAEMONS_PER_DATA_CENTRE = 3;
/** Together with the pause about 60 requests a second. */
export const PARALLEL_CALLERS = 26;
export const CALLER_PAUSE_MS = 150;
export const ATTEMPT_TIMEOUT_MS = 15_000;
export const MAX_ATTEMPTS = 40;
/** More requests than the longest run sends. */
export const MAX_REQUESTS = 30_000;

/** Load before the roll-out is declared, so that the stable version has evidence. */
export const WARM_MS = 15_000;
/** The roll-out has to end within this time. */
export const ROLLOUT_TIMEOUT_MS = 180_000;
/** Load after the end, in which nobody may get a quarantined candidate. */
export const TAIL_MS = 5_000;
export const POLL_MS = 200;
export const POLL_TIMEOUT_MS = 1_000;
/** How long the killed holder stays away: its lease lapses and another has to go on. */
export const REPLACE_AFTER_MS = 25_000;
/** An answer that was under way when the quarantine came may arrive so much later. */
export const QUARANTINE_GRACE_MS = 1_000;
/** Bad answers that may reach callers, over all daemons: the aim of issue 5. */
export const MAX_REACHED_CALLERS = 30;

/** Like a roll-out in production but for fewer ratings a stage, so that it ends within minutes. */
export const rolloutSpec: RolloutSpec = {
  model: MODEL,
  stableVersion: STABLE_VERSION,
  candidateVersion: CANDIDATE_VERSION,
  stages: [
    { sharePct: 5, minRatings: 20 },
    { sharePct: 25, minRatings: 20 },
    { sharePct: 100, minRatings: 20 },
  ],
  exposureBudget: 20,
  maxFailureIncreasePct: 5,
  isPaused: false,
};
