/** Synchronises the replica with the table or with a peer. */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import {
  fetchedChangesSchema,
  type FetchedChanges,
  type PeerTransport,
} from '@snipehaven/protocol';
import type { ContactTracker } from './contactTracker.js';
import { ConfigurationCorruptError } from './errors.js';
import { checkFormat, restoreChange, restoreResource } from './restoreChange.js';
import type { ReplicaState } from './replicaState.js';
import type { SafeMoveState } from './safeMoves/safeMoveState.js';
import { SingleFlight } from './singleFlight.js';
import type { TableReader } from './tableReader.js';

export interface SynchroniserOptions {
  readonly state: ReplicaState;
  readonly reader: TableReader;
  readonly transport: PeerTransport;
  readonly contact: ContactTracker;
  readonly safeMoves: SafeMoveState;
  readonly logger: Logger;
}

const TABLE = 'table';

/**
 * More than one try is needed because the first may join a run that began before the head was read.
 */
const MAX_TRIES = 3;

export class Synchroniser {
  readonly #options: SynchroniserOptions;

  /** Limits catch-up to one run per source, since pushes and gossip may request many at once. */
  readonly #singleFlight = new SingleFlight();

  constructor(options: SynchroniserOptions) {
    this.#options = options;
  }

  /** Throws the errors of the platform. */
  catchUpFromTable(): Promise<void> {
    return this.#singleFlight.run(TABLE, () => this.#syncFromTable());
  }

  /** Catches up to a revision that the table is known to contain. */
  async catchUpTo(revision: number): Promise<void> {
    const { state } = this.#options;
    for (let tries = 0; state.revision < revision; tries += 1) {
      if (tries === MAX_TRIES) {
        throw new ConfigurationCorruptError(
          `the table has no changes up to its head revision ${revision}`,
        );
      }
      await this.catchUpFromTable();
    }
  }

  /** Fetches missing changes from a peer; rejects if the peer cannot provide them. */
  catchUpFromPeer(address: string, withSafeMoves = false): Promise<void> {
    return this.#singleFlight.run(address, () => this.#syncFromPeer(address, withSafeMoves));
  }

  /**
   * Catches up from a peer in the background. A failure is only logged, because anti-entropy
   * retries.
   */
  startCatchUp(address: string): void {
    this.catchUpFromPeer(address).catch((error: unknown) =>
      this.#options.logger.debug(
        { address, fault: getErrorMessage(error) },
        'could not catch up from the peer',
      ),
    );
  }

  async #syncFromTable(): Promise<void> {
    const { state, reader, contact } = this.#options;
    const changes = await reader.fetchChanges(state.revision);
    if (changes) {
      state.applyChanges(changes);
    } else {
      state.installSnapshot(await reader.loadSnapshot());
    }
    contact.recordTableContact();
  }

  async #syncFromPeer(address: string, withSafeMoves: boolean): Promise<void> {
    const { state } = this.#options;
    let before: number;
    let isFirst = true;
    do {
      before = state.revision;
      const fetched = await this.#fetch(address, before, withSafeMoves && isFirst);
      this.#applyFetched(fetched);
      isFirst = false;
    } while (state.revision > before && state.isBehind);
  }

  async #fetch(
    address: string,
    afterRevision: number,
    withSafeMoves: boolean,
  ): Promise<FetchedChanges> {
    const peer = this.#options.transport.getPeer(address);
    const answer = await peer.configuration.fetchChanges({ afterRevision, withSafeMoves });
    return checkFormat(`response of ${address}`, () => fetchedChangesSchema.parse(answer));
  }

  #applyFetched(fetched: FetchedChanges): void {
    const { state, contact, safeMoves } = this.#options;
    if (fetched.safeMoves) {
      safeMoves.merge(fetched.safeMoves);
    }
    state.observeHead(fetched.headRevision);
    if (fetched.kind === 'changes') {
      state.applyChanges(fetched.changes.map(restoreChange));
    } else {
      const resources = fetched.resources.map(restoreResource);
      state.installSnapshot({ revision: fetched.revision, resources });
    }
    contact.recordPeerAnswer();
  }
}
