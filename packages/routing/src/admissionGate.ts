/** Lets requests in fairly, and refuses at once those that would wait too long. */
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

/** Whether a request may run now. */
export type AdmissionOutcome =
  | { readonly kind: 'admitted'; release(): void }
  | { readonly kind: 'refused'; readonly retryAfterMs: number; readonly reason: string }
  | { readonly kind: 'callerGone' };

/** How soon waiting requests are looked at again without any that ends. */
const RECHECK_MS = 100;

type Resolve = (outcome: AdmissionOutcome) => void;

export class AdmissionGate {
  readonly #getSettings: () => AdmissionSettings;

  readonly #random: Random;

  readonly #waiting = new Map<string, Resolve>();

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

  /** Resolves when the request may run, or at once when it will not. */
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
      : this.#wait(request, callerGone);
  }

  #wait(request: AdmissionRequest, callerGone: AbortSignal): Promise<AdmissionOutcome> {
    return new Promise((resolve) => {
      const leave = (): void => {
        if (this.#waiting.delete(request.id)) {
          this.#state = cancelQueued(this.#state, request.id);
          resolve({ kind: 'callerGone' });
        }
      };
      callerGone.addEventListener('abort', leave, { once: true });
      const timer = setTimeout(() => this.#pump(), Math.max(0, request.deadlineAtMs - Date.now()));
      this.#waiting.set(request.id, (outcome) => {
        clearTimeout(timer);
        callerGone.removeEventListener('abort', leave);
        resolve(outcome);
      });
      this.#scheduleRecheck();
    });
  }

  /**
   * What goes wrong: room that a load report shows, or an upstream that comes back, wakes nobody, and
   * requests wait before free slots until one of this daemon's own ends. One notices late first tokens
   * at daemons with little traffic.
   */
  #scheduleRecheck(): void {
    this.#recheckTimer ??= setTimeout(() => {
      this.#recheckTimer = undefined;
      this.#pump();
      if (this.#waiting.size > 0) {
        this.#scheduleRecheck();
      }
    }, RECHECK_MS);
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
      this.#pump();
    };
    return { kind: 'admitted', release };
  }

  #pump(): void {
    for (;;) {
      const step = takeNext(this.#state, this.#getSettings(), Date.now(), this.#random);
      this.#state = step.state;
      this.#refuseAll(step.refused);
      if (step.next === undefined) {
        return;
      }
      this.#resolveWaiting(step.next.id, this.#createAdmitted(step.next));
    }
  }

  #refuseAll(refusals: readonly AdmissionRefusal[]): void {
    refusals.forEach(({ request, reason, retryAfterMs }) => {
      this.#resolveWaiting(request.id, { kind: 'refused', reason, retryAfterMs });
    });
  }

  #resolveWaiting(id: string, outcome: AdmissionOutcome): void {
    const resolve = this.#waiting.get(id);
    this.#waiting.delete(id);
    resolve?.(outcome);
  }
}
