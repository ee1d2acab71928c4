/** Decides when a booting daemon may serve requests. */
import type { ConfigurationSettings } from './constants.js';
import type { ContactTracker } from './contactTracker.js';
import type { ReplicaState } from './replicaState.js';

/**
 * A new daemon might load an old snapshot while its peers have newer revisions, and run requests
 * under permissions that have been revoked, for example with versions that a team no longer allows.
 * It therefore becomes ready only after it has reached the highest revision it heard of and has
 * contacted a source other than the object store. Only if nobody with a newer revision can be
 * reached for `isolatedAfterMs` does it serve what it has.
 */
export class Readiness {
  readonly #state: ReplicaState;

  readonly #contact: ContactTracker;

  readonly #settings: ConfigurationSettings;

  #isLoaded = false;

  #isReady = false;

  constructor(state: ReplicaState, contact: ContactTracker, settings: ConfigurationSettings) {
    this.#state = state;
    this.#contact = contact;
    this.#settings = settings;
  }

  /** Whether a configuration was loaded from any source. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  markLoaded(): void {
    this.#isLoaded = true;
  }

  /** Stays true once it was true: a serving daemon continues to serve while it catches up. */
  hasConfiguration(): boolean {
    this.#isReady ||= this.#isLoaded && (this.#isCaughtUp() || this.#isIsolated());
    return this.#isReady;
  }

  #isCaughtUp(): boolean {
    const { hasHeardPeer, isConfirmed, startedAtMs } = this.#contact;
    const hasWaited = Date.now() - startedAtMs >= this.#settings.peerGraceMs;
    return isConfirmed && !this.#state.isBehind && (hasHeardPeer || hasWaited);
  }

  #isIsolated(): boolean {
    return this.#contact.getIsolatedMs() > this.#settings.isolatedAfterMs;
  }
}
