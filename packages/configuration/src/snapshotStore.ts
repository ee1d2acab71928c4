/** Snapshots in the object store, for daemons that boot while the table is away. */
import { z } from 'zod';
import { getErrorMessage, type Logger } from '@snipehaven/common';
import type { ObjectStoreClient } from '@snipehaven/platform';
import { safeMoveBatchSchema } from '@snipehaven/protocol';
import { SNAPSHOT_PREFIX } from './constants.js';
import { ConfigurationUnavailableError } from './errors.js';
import { guardForm, restoreResource } from './restoreChange.js';
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
  /** Names the writer, so that two writers of the same revision keep apart. */
  readonly vm: string;
  readonly keptSnapshots: number;
  readonly logger: Logger;
}

const decode = (name: string, bytes: Uint8Array): StoredSnapshot =>
  guardForm(name, () => snapshotSchema.parse(JSON.parse(Buffer.from(bytes).toString('utf8'))));

export class SnapshotStore {
  readonly #options: SnapshotStoreOptions;

  #savedDigest = '';

  constructor(options: SnapshotStoreOptions) {
    this.#options = options;
  }

  /**
   * Takes in all kept snapshots: the highest revision counts, and the safe moves of all are joined, since an
   * older snapshot may hold a withdrawal that the writer of the newest had not heard of.
   */
  async load(): Promise<void> {
    const snapshots = await this.#readAll();
    if (snapshots.length === 0) {
      throw new ConfigurationUnavailableError('the object store holds no readable snapshot');
    }
    const { state, safeMoves } = this.#options;
    snapshots.forEach((snapshot) => {
      safeMoves.merge(snapshot.safeMoves);
      const resources = snapshot.resources.map(restoreResource);
      state.installSnapshot({ revision: snapshot.revision, resources });
    });
  }

  /** Saves the present state unless it is saved already, and deletes old snapshots. */
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
    const newest = [...names].sort().slice(-this.#options.keptSnapshots).reverse();
    const snapshots = await Promise.all(newest.map((name) => this.#read(name)));
    return snapshots.filter((snapshot) => snapshot !== undefined);
  }

  async #read(name: string): Promise<StoredSnapshot | undefined> {
    try {
      const bytes = await this.#options.objectStore.get(name);
      return bytes && decode(name, bytes);
    } catch (error) {
      this.#options.logger.warn({ name, fault: getErrorMessage(error) }, 'snapshot not readable');
      return undefined;
    }
  }

  async #deleteOld(): Promise<void> {
    const { objectStore, keptSnapshots } = this.#options;
    const names = await objectStore.list(SNAPSHOT_PREFIX);
    const old = [...names].sort().slice(0, -keptSnapshots);
    await Promise.all(old.map((name) => objectStore.delete(name)));
  }
}
