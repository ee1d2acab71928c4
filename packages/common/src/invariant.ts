/**
 * Promises asserted inside the running program. In production a violation is counted and
 * logged, for stopping a daemon would lose the other requests it serves; in tests it throws.
 */
import { InvariantViolation } from './errors.js';

/** Names of the promises, as they appear in metrics and in docs/PROOFS.md. */
export type PromiseName =
  | 'allowedVersion'
  | 'noWithdrawnWork'
  | 'sessionKeepsVersion'
  | 'billedOnce'
  | 'wholeAnswer'
  | 'notRunIsTrue'
  | 'atMostOnce'
  | 'leavingGetsNoWork'
  | 'gracefulShutdown'
  | 'configurationNeverReverts'
  | 'internal';

/** Called with each violation, to log it with the request's time line. */
export type ViolationListener = (promise: PromiseName, detail: string) => void;

const counts = new Map<PromiseName, number>();
const listeners = new Set<ViolationListener>();
let isFatal = false;

/** Makes violations throw {@link InvariantViolation}; for tests and fuzzing. */
export const setInvariantsFatal = (fatal: boolean): void => {
  isFatal = fatal;
};

/** Adds a listener; returns the function that removes it. */
export const onViolation = (listener: ViolationListener): (() => void) => {
  listeners.add(listener);
  return () => listeners.delete(listener);
};

/** How often each promise was found violated since the process started. */
export const getViolationCounts = (): ReadonlyMap<PromiseName, number> => counts;

/** Asserts that a promise holds. */
export function invariant(
  condition: unknown,
  promise: PromiseName,
  detail: string,
): asserts condition {
  if (condition) {
    return;
  }
  counts.set(promise, (counts.get(promise) ?? 0) + 1);
  listeners.forEach((listener) => listener(promise, detail));
  if (isFatal) {
    throw new InvariantViolation(`${promise}: ${detail}`);
  }
}

/**
 * Like `invariant`, for places where the program can refuse instead of breaking the promise: tells
 * whether it holds. A violation is counted, logged and, in tests, thrown all the same.
 */
export const isPromiseKept = (
  condition: boolean,
  promise: PromiseName,
  detail: string,
): boolean => {
  invariant(condition, promise, detail);
  return condition;
};

/** Marks a branch that the type checker proves unreachable. */
export const assertNever = (value: never): never => {
  throw new InvariantViolation(`unexpected value ${JSON.stringify(value)}`);
};
