/** What is known of whether a request ran. */
import type { UpstreamNotStartedError } from '@snipehaven/upstream';

/** `notRun` is a proved fact, `ran` an observed one; `unknown` is everything else. */
export type RunVerdict = 'notRun' | 'unknown' | 'ran';

type DispatchState = 'sent' | 'provedNotRun' | 'seenRunning';

/** One dispatch of a request to an upstream. */
export class Dispatch {
  #state: DispatchState = 'sent';

  get state(): DispatchState {
    return this.#state;
  }

  /** The upstream's own refusal proves that nothing ran; nothing else can be passed in here. */
  proveNotRun(_evidence: UpstreamNotStartedError): void {
    this.#state = this.#state === 'seenRunning' ? this.#state : 'provedNotRun';
  }

  /** Part of an answer came. */
  noteRunning(): void {
    this.#state = 'seenRunning';
  }
}

/**
 * Follows every dispatch of one request.
 *
 * What goes wrong: a refusal says "not run" because some branch of the code believed so, and the caller
 * files a record a second time. The verdict here is derived from the dispatches alone, so `notRun` can
 * only come out where nothing was sent or each upstream proved that it did not start.
 */
export class RunTracker {
  readonly #dispatches: Dispatch[] = [];

  /** Call before the first byte goes out. */
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
