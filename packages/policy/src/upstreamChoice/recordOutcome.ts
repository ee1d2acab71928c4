/**
 * Tracks an upstream's health by the outcomes of its attempts. Consecutive failures or a high
 * failure rate eject the upstream for a time that grows with each ejection. Afterwards, single
 * probe requests decide whether it returns in slow start or is ejected for longer.
 */
import {
  EJECT_BASE_MS,
  EJECT_CONSECUTIVE_FAILURES,
  EJECT_FAILURE_RATE,
  EJECT_JITTER,
  EJECT_MAX_MS,
  EJECT_MIN_OUTCOMES,
  HEALTH_WINDOW_MS,
} from './constants.js';
import { outcomeRules } from './outcomeRules.js';
import type { OutcomeKind, PoolStatus, UpstreamHealth } from './types.js';

/** Creates the health of an upstream that was just discovered; it begins with a slow start. */
export const createHealth = (nowMs: number): UpstreamHealth => ({
  consecutiveFailures: 0,
  windowStartedAtMs: nowMs,
  windowOutcomes: 0,
  windowFailures: 0,
  ejections: 0,
  ejectedUntilMs: 0,
  slowStartSinceMs: nowMs,
});

const rollWindow = (health: UpstreamHealth, nowMs: number): UpstreamHealth =>
  nowMs - health.windowStartedAtMs < HEALTH_WINDOW_MS
    ? health
    : { ...health, windowStartedAtMs: nowMs, windowOutcomes: 0, windowFailures: 0 };

const recordSuccess = (health: UpstreamHealth, nowMs: number): UpstreamHealth => {
  const counted = {
    ...health,
    consecutiveFailures: 0,
    windowOutcomes: health.windowOutcomes + 1,
  };
  if (health.ejectedUntilMs === 0) {
    const hasWindowPassed = counted.windowOutcomes >= EJECT_MIN_OUTCOMES;
    return hasWindowPassed ? { ...counted, ejections: 0 } : counted;
  }
  if (health.ejectedUntilMs > nowMs) {
    return counted;
  }
  return {
    ...counted,
    windowOutcomes: 0,
    windowFailures: 0,
    ejectedUntilMs: 0,
    slowStartSinceMs: nowMs,
  };
};

const isUnhealthy = (health: UpstreamHealth): boolean =>
  health.consecutiveFailures >= EJECT_CONSECUTIVE_FAILURES ||
  (health.windowOutcomes >= EJECT_MIN_OUTCOMES &&
    health.windowFailures >= health.windowOutcomes * EJECT_FAILURE_RATE);

const canEjectMore = (maxShare: number, { poolSize, ejectedCount }: PoolStatus): boolean =>
  ejectedCount + 1 <= Math.floor(poolSize * maxShare);

const eject = (health: UpstreamHealth, nowMs: number, pool: PoolStatus): UpstreamHealth => {
  const baseMs = Math.min(EJECT_MAX_MS, EJECT_BASE_MS * 2 ** health.ejections);
  const durationMs = baseMs * (1 + EJECT_JITTER * pool.random.next());
  return {
    ...health,
    windowOutcomes: 0,
    windowFailures: 0,
    ejections: health.ejections + 1,
    ejectedUntilMs: nowMs + durationMs,
  };
};

const recordFailure = (
  health: UpstreamHealth,
  maxShare: number,
  nowMs: number,
  pool: PoolStatus,
): UpstreamHealth => {
  const counted = {
    ...health,
    consecutiveFailures: health.consecutiveFailures + 1,
    windowOutcomes: health.windowOutcomes + 1,
    windowFailures: health.windowFailures + 1,
  };
  if (health.ejectedUntilMs > nowMs) {
    return counted;
  }
  const hasFailedProbe = health.ejectedUntilMs !== 0;
  if (hasFailedProbe || (isUnhealthy(counted) && canEjectMore(maxShare, pool))) {
    return eject(counted, nowMs, pool);
  }
  return counted;
};

/** Returns the upstream's health after one more outcome. */
export const recordOutcome = (
  health: UpstreamHealth,
  outcome: OutcomeKind,
  nowMs: number,
  pool: PoolStatus,
): UpstreamHealth => {
  const current = rollWindow(health, nowMs);
  const rule = outcomeRules[outcome];
  if (rule.kind === 'ignore') {
    return current;
  }
  return rule.kind === 'success'
    ? recordSuccess(current, nowMs)
    : recordFailure(current, rule.maxEjectedShare, nowMs, pool);
};
