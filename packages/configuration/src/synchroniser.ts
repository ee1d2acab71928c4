/** Brings the replica up to what a peer or the table has. */
import { getErrorMessage, type Logger } from '@snipehaven/common';
import {
  fetchedChangesSchema,
  type FetchedChanges,
  type PeerTransport,
} from '@snipehaven/protocol';
import type { ContactTracker } from './contactTracker.js';
import { ConfigurationCorruptError } from './errors.js';
import { guardForm, restoreChange, restoreResource } from './restoreChange.js';
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

/** The first run may be one that began before the head was read. */
const MAX_TRIES = 3;

export class Synchroniser {
  readonly #options: SynchroniserOptions;

  /** One catch-up from each source at a time: pushes and gossip may ask for many at once. */
  readonly #flights = new SingleFlight();

  constructor(options: SynchroniserOptions) {
    this.#options = options;
  }

  /** Throws the platform's errors. */
  catchUpFromTable(): Promise<void> {
    return this.#flights.run(TABLE, () => this.#readTable());
  }

  /** Catches up until the revision is reached, which the table is known to have. */
  async catchUpTo(revision: number): Promise<void> {
    const { state } = this.#options;
    for (let tries = 0; state.revision < revision; tries += 1) {
      if (tries === MAX_TRIES) {
        throw new ConfigurationCorruptError(`the table lacks changes up to its head ${revision}`);
      }
      await this.catchUpFromTable();
    }
  }

  /** Fetches from a peer what this daemon lacks; rejects when the peer cannot give it. */
  catchUpFromPeer(address: string, withSafeMoves = false): Promise<void> {
    return this.#flights.run(address, () => this.#readPeer(address, withSafeMoves));
  }

  /** The same in the background: a failure is logged, and anti-entropy tries again. */
  startCatchUp(address: string): void {
    this.catchUpFromPeer(address).catch((error: unknown) =>
      this.#options.logger.debug({ address, fault: getErrorMessage(error) }, 'catch-up failed'),
    );
  }

  async #readTable(): Promise<void> {
    const { state, reader, contact } = this.#options;
    const changes = await reader.fetchChanges(state.revision);
    if (changes) {
      state.applyChanges(changes);
    } else {
      state.installSnapshot(await reader.loadSnapshot());
    }
    contact.noteTable();
  }

  async #readPeer(address: string, withSafeMoves: boolean): Promise<void> {
    const { state } = this.#options;
    let before: number;
    let isFirst = true;
    do {
      before = state.revision;
      const fetched = await this.#fetch(address, before, withSafeMoves && isFirst);
      this.#takeIn(fetched);
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
    return guardForm(`answer of ${address}`, () => fetchedChangesSchema.parse(answer));
  }

  #takeIn(fetched: FetchedChanges): void {
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
    contact.noteAnswer();
  }
}
