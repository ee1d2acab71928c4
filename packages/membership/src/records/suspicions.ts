/** Tracks how much time each suspect has left to refute. */
import type { Member } from '@snipehaven/protocol';
import type { MembershipSettings } from '../types.js';

interface Suspicion {
  readonly deadlineMs: number;
  readonly isShortened: boolean;
}

type SuspicionSettings = Pick<MembershipSettings, 'suspicionMs' | 'remoteSuspicionFactor'>;

/** Gossip takes log(size) periods to reach all members, and so does the refutation. */
export const getSuspicionMs = (
  isLocal: boolean,
  size: number,
  settings: SuspicionSettings,
): number => {
  const localMs = settings.suspicionMs * Math.max(1, Math.log10(size));
  return isLocal ? localMs : localMs * settings.remoteSuspicionFactor;
};

export class Suspicions {
  readonly #suspicions = new Map<string, Suspicion>();

  start(incarnation: string, timeoutMs: number): void {
    const deadlineMs = performance.now() + timeoutMs;
    this.#suspicions.set(incarnation, { deadlineMs, isShortened: false });
  }

  end(member: Pick<Member, 'incarnation'>): void {
    this.#suspicions.delete(member.incarnation);
  }

  /** Shortens the remaining time of a suspect, at most once. */
  shorten(incarnation: string, factor: number): void {
    const suspicion = this.#suspicions.get(incarnation);
    if (!suspicion || suspicion.isShortened) {
      return;
    }
    const nowMs = performance.now();
    const deadlineMs = nowMs + (suspicion.deadlineMs - nowMs) * factor;
    this.#suspicions.set(incarnation, { deadlineMs, isShortened: true });
  }

  /** Extends the time of all suspects. */
  extendAll(byMs: number): void {
    this.#suspicions.forEach((suspicion, incarnation) => {
      const deadlineMs = suspicion.deadlineMs + byMs;
      this.#suspicions.set(incarnation, { ...suspicion, deadlineMs });
    });
  }

  listExpired(): readonly string[] {
    const nowMs = performance.now();
    return [...this.#suspicions]
      .filter(([, suspicion]) => suspicion.deadlineMs <= nowMs)
      .map(([incarnation]) => incarnation);
  }

  clear(): void {
    this.#suspicions.clear();
  }
}
