/** Decides when a booted daemon may serve. */
import type { ConfigurationSettings } from './constants.js';
import type { ContactTracker } from './contactTracker.js';
import type { ReplicaState } from './replicaState.js';

/**
 * What goes wrong: a new daemon loads an old snapshot while its peers are further; it would run requests
 * under permissions that were taken back. One notices answers by versions that a team no longer allows.
 * It is therefore not ready before it has reached the highest revision that it heard of from anyone, and
 * has asked someone besides the object store; only when nobody who knows more answers for a while, it
 * serves what it has.
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

  /** Whether any source has given a configuration. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  noteLoaded(): void {
    this.#isLoaded = true;
  }

  /** Once true it stays so: a daemon that serves goes on while it catches up. */
  hasConfiguration(): boolean {
    this.#isReady ||= this.#isLoaded && (this.#isCaughtUp() || this.#isCutOff());
    return this.#isReady;
  }

  #isCaughtUp(): boolean {
    const { hasHeardPeer, isConfirmed, startedAtMs } = this.#contact;
    const hasWaited = Date.now() - startedAtMs >= this.#settings.peerGraceMs;
    return isConfirmed && !this.#state.isBehind && (hasHeardPeer || hasWaited);
  }

  #isCutOff(): boolean {
    return this.#contact.getAloneMs() > this.#settings.cutOffAfterMs;
  }
}
