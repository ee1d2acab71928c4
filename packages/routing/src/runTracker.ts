/** Tracks whether a request may have run at an upstream. */
import type { UpstreamNotStartedError } from '@snipehaven/upstream';

/** `notRun` is proved, `ran` was observed; `unknown` covers everything else. */
export type RunVerdict = 'notRun' | 'unknown' | 'ran';

type DispatchState = 'sent' | 'provedNotRun' | 'seenRunning';

/** One dispatch of a request to an upstream. */
export class Dispatch {
  #state: DispatchState = 'sent';

  get state(): DispatchState {
    return this.#state;
  }

  /** Only an upstream's own refusal proves that nothing ran, hence the type of the parameter. */
  markNotRun(_evidence: UpstreamNotStartedError): void {
    this.#state = this.#state === 'seenRunning' ? this.#state : 'provedNotRun';
  }

  /** Records that part of an answer was received. */
  markRunning(): void {
    this.#state = 'seenRunning';
  }
}

/**
 * Tracks every dispatch of one request. If a refusal says `notRun` only because some code path
 * assumed so, the caller may file a record twice. The verdict is therefore derived from the
 * dispatches alone: `notRun` requires that nothing was sent, or that each upstream proved that it
 * did not start.
 */
export class RunTracker {
  readonly #dispatches: Dispatch[] = [];

  /** Must be called before the first byte is sent. */
  startDispatch(): Dispatch {
    const dispatch = new Dispatch();
    this.#dispatches.push(dispatch);
    return dispatch;
  }

  getVerdict(): RunVerdict {
    const states = this.#dispatches.map((dispatch) => dispatch.state);
    if (states.includes('seenRunning')) {
      return 'ran';
    }
    return states.includes('sent') ? 'unknown' : 'notRun';
  }
}
