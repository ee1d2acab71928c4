/** How long each suspect has left to refute. */
import type { Member } from '@snipehaven/protocol';
import type { MembershipSettings } from '../types.js';

interface Suspicion {
  readonly deadlineMs: number;
  readonly isHastened: boolean;
}

type SuspicionSettings = Pick<MembershipSettings, 'suspicionMs' | 'remoteSuspicionFactor'>;

/** News takes log(size) periods to come round, and so does the refutation. */
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
    this.#suspicions.set(incarnation, { deadlineMs, isHastened: false });
  }

  end(member: Pick<Member, 'incarnation'>): void {
    this.#suspicions.delete(member.incarnation);
  }

  /** Shortens, once, what a suspect has left. */
  hasten(incarnation: string, factor: number): void {
    const suspicion = this.#suspicions.get(incarnation);
    if (!suspicion || suspicion.isHastened) {
      return;
    }
    const nowMs = performance.now();
    const deadlineMs = nowMs + (suspicion.deadlineMs - nowMs) * factor;
    this.#suspicions.set(incarnation, { deadlineMs, isHastened: true });
  }

  /** Gives all suspects further time. */
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
