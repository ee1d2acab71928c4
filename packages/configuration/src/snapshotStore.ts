/**
 * Stores configuration snapshots in the object store, for daemons that boot while the table is
 * unavailable.
 */
import { z } from 'zod';
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { ObjectStoreClient } from '@snipehaven/platform';
import { safeMoveBatchSchema } from '@snipehaven/protocol';
import { SNAPSHOT_PREFIX } from './constants.js';
import { ConfigurationUnavailableError } from './errors.js';
import { checkFormat, restoreResource } from './restoreChange.js';
import type { ReplicaState } from './replicaState.js';
import { padRevision } from './rows.js';
import type { SafeMoveState } from './safeMoves/safeMoveState.js';

const snapshotSchema = z.object({
  revision: z.int().nonnegative(),
  resources: z.array(z.unknown()),
  safeMoves: safeMoveBatchSchema,
});

type StoredSnapshot = z.infer<typeof snapshotSchema>;

export interface SnapshotStoreOptions {
  readonly objectStore: ObjectStoreClient;
  readonly state: ReplicaState;
  readonly safeMoves: SafeMoveState;
  /**
   * Part of the object name, so that two writers of the same revision do not overwrite each other.
   */
  readonly vm: string;
  readonly retainedSnapshots: number;
  readonly logger: Logger;
}

const decode = (name: string, bytes: Uint8Array): StoredSnapshot =>
  checkFormat(name, () => snapshotSchema.parse(JSON.parse(Buffer.from(bytes).toString('utf8'))));

export class SnapshotStore {
  readonly #options: SnapshotStoreOptions;

  #savedDigest = '';

  constructor(options: SnapshotStoreOptions) {
    this.#options = options;
  }

  /**
   * Loads all retained snapshots. The highest revision is installed and the safe moves of all of
   * them are merged, because an older snapshot may contain a withdrawal that the writer of the
   * newest one had not received.
   */
  async load(): Promise<void> {
    const snapshots = await this.#readAll();
    if (snapshots.length === 0) {
      throw new ConfigurationUnavailableError('the object store contains no readable snapshot');
    }
    const { state, safeMoves } = this.#options;
    snapshots.forEach((snapshot) => {
      safeMoves.merge(snapshot.safeMoves);
      const resources = snapshot.resources.map(restoreResource);
      state.installSnapshot({ revision: snapshot.revision, resources });
    });
  }

  /** Saves the current state unless it is already saved, and deletes old snapshots. */
  async save(): Promise<void> {
    const { objectStore, state, safeMoves, vm } = this.#options;
    const { view } = state;
    const digest = `${view.revision}/${safeMoves.getDigest()}`;
    if (digest === this.#savedDigest) {
      return;
    }
    const snapshot: StoredSnapshot = {
      revision: view.revision,
      resources: [...view.listAll()],
      safeMoves: safeMoves.listBatch(),
    };
    const name = `${SNAPSHOT_PREFIX}${padRevision(view.revision)}-${vm}`;
    await objectStore.put(name, Buffer.from(JSON.stringify(snapshot)));
    this.#savedDigest = digest;
    await this.#deleteOld();
  }

  async #readAll(): Promise<readonly StoredSnapshot[]> {
    const names = await this.#options.objectStore.list(SNAPSHOT_PREFIX);
    const newest = [...names].sort().slice(-this.#options.retainedSnapshots).reverse();
    const snapshots = await Promise.all(newest.map((name) => this.#read(name)));
    return snapshots.filter((snapshot) => snapshot !== undefined);
  }

  async #read(name: string): Promise<StoredSnapshot | undefined> {
    try {
      const bytes = await this.#options.objectStore.get(name);
      return bytes && decode(name, bytes);
    } catch (error) {
      this.#options.logger.warn(
        { name, fault: getErrorMessage(error) },
        'could not read the snapshot',
      );
      return undefined;
    }
  }

  async #deleteOld(): Promise<void> {
    const { objectStore, retainedSnapshots } = this.#options;
    const names = await objectStore.list(SNAPSHOT_PREFIX);
    const old = [...names].sort().slice(0, -retainedSnapshots);
    await Promise.all(old.map((name) => objectStore.delete(name)));
  }
}
