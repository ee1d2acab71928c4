/** Admits requests by weighted fair queueing and rejects those that would wait too long. */
import type { Random } from '@snipehaven/common';
import {
  cancelQueued,
  chooseAdmission,
  createAdmission,
  recordCompletion,
  takeNext,
  type AdmissionRefusal,
  type AdmissionRequest,
  type AdmissionSettings,
  type AdmissionState,
} from '@snipehaven/policy';

export type AdmissionOutcome =
  | { readonly kind: 'admitted'; release(): void }
  | { readonly kind: 'refused'; readonly retryAfterMs: number; readonly reason: string }
  | { readonly kind: 'callerGone' };

/** How often the queue is re-evaluated when no running request completes. */
const RECHECK_INTERVAL_MS = 100;

type Resolve = (outcome: AdmissionOutcome) => void;

export class AdmissionController {
  readonly #getSettings: () => AdmissionSettings;

  readonly #random: Random;

  readonly #pendingById = new Map<string, Resolve>();

  #recheckTimer: NodeJS.Timeout | undefined;

  #state: AdmissionState = createAdmission(Date.now());

  constructor(getSettings: () => AdmissionSettings, random: Random) {
    this.#getSettings = getSettings;
    this.#random = random;
  }

  get running(): number {
    return this.#state.running;
  }

  get queued(): number {
    return this.#state.queued;
  }

  /** Resolves when the request may run, or as soon as it is known that it will not. */
  admit(request: AdmissionRequest, callerGone: AbortSignal): Promise<AdmissionOutcome> {
    const settings = this.#getSettings();
    const result = chooseAdmission(this.#state, settings, request, Date.now(), this.#random);
    this.#state = result.state;
    this.#refuseAll(result.displaced);
    const { decision } = result;
    if (decision.kind === 'refuse') {
      const { reason, retryAfterMs } = decision;
      return Promise.resolve({ kind: 'refused', reason, retryAfterMs });
    }
    return decision.kind === 'run'
      ? Promise.resolve(this.#createAdmitted(request))
      : this.#enqueue(request, callerGone);
  }

  #enqueue(request: AdmissionRequest, callerGone: AbortSignal): Promise<AdmissionOutcome> {
    return new Promise((resolve) => {
      const cancel = (): void => {
        if (this.#pendingById.delete(request.id)) {
          this.#state = cancelQueued(this.#state, request.id);
          resolve({ kind: 'callerGone' });
        }
      };
      callerGone.addEventListener('abort', cancel, { once: true });
      const timer = setTimeout(
        () => this.#admitQueued(),
        Math.max(0, request.deadlineAtMs - Date.now()),
      );
      this.#pendingById.set(request.id, (outcome) => {
        clearTimeout(timer);
        callerGone.removeEventListener('abort', cancel);
        resolve(outcome);
      });
      this.#scheduleRecheck();
    });
  }

  /**
   * Capacity that appears in a load report, or with an upstream that returns, triggers no
   * completion event. Without a periodic check, requests would queue in front of free slots until
   * one of this daemon's own requests ends, which shows as late first tokens on daemons with little
   * traffic.
   */
  #scheduleRecheck(): void {
    this.#recheckTimer ??= setTimeout(() => {
      this.#recheckTimer = undefined;
      this.#admitQueued();
      if (this.#pendingById.size > 0) {
        this.#scheduleRecheck();
      }
    }, RECHECK_INTERVAL_MS);
  }

  #createAdmitted(request: AdmissionRequest): AdmissionOutcome {
    const startedAtMs = Date.now();
    let isReleased = false;
    const release = (): void => {
      if (isReleased) {
        return;
      }
      isReleased = true;
      this.#state = recordCompletion(this.#state, request, Date.now() - startedAtMs);
      this.#admitQueued();
    };
    return { kind: 'admitted', release };
  }

  #admitQueued(): void {
    for (;;) {
      const step = takeNext(this.#state, this.#getSettings(), Date.now(), this.#random);
      this.#state = step.state;
      this.#refuseAll(step.refused);
      if (step.next === undefined) {
        return;
      }
      this.#resolvePending(step.next.id, this.#createAdmitted(step.next));
    }
  }

  #refuseAll(refusals: readonly AdmissionRefusal[]): void {
    refusals.forEach(({ request, reason, retryAfterMs }) => {
      this.#resolvePending(request.id, { kind: 'refused', reason, retryAfterMs });
    });
  }

  #resolvePending(id: string, outcome: AdmissionOutcome): void {
    const resolve = this.#pendingById.get(id);
    this.#pendingById.delete(id);
    resolve?.(outcome);
  }
}
