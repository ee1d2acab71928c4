/** The configuration that a daemon has in force, and the changes that led to it. */
import { getErrorMessage, invariant, type Logger } from '@snipehaven/common';
import type { Resource, ResourceChange } from '@snipehaven/resources';
import { MAX_PENDING_CHANGES } from './constants.js';
import type { ConfigurationListener } from './types.js';
import { ReplicaView } from './view.js';

/** All resources at one revision. */
export interface Snapshot {
  readonly revision: number;
  readonly resources: readonly Resource[];
}

/** What a watcher of the old state must hear to arrive at the new one, by rising revision. */
const diffViews = (before: ReplicaView, after: ReplicaView): readonly ResourceChange[] => {
  const written = after
    .listAll()
    .filter(({ kind, metadata }) => {
      const old = before.get(kind, metadata.name);
      return old?.metadata.resourceVersion !== metadata.resourceVersion;
    })
    .map((resource) => ({
      revision: resource.metadata.resourceVersion,
      kind: resource.kind,
      name: resource.metadata.name,
      resource,
    }));
  const deleted = before
    .listAll()
    .filter(({ kind, metadata }) => !after.get(kind, metadata.name))
    .map(({ kind, metadata }) => ({ revision: after.revision, kind, name: metadata.name }));
  return [...written, ...deleted].sort((a, b) => a.revision - b.revision);
};

/**
 * What goes wrong: messages overtake each other or come twice, and an old snapshot arrives late; a daemon
 * that took each as it came would go back to a team's old permissions. One notices a revision that
 * falls. Changes are therefore applied in unbroken order only, and snapshots only when higher.
 */
export class ReplicaState {
  readonly #keptChanges: number;

  readonly #logger: Logger;

  readonly #listeners = new Set<ConfigurationListener>();

  /** Changes ahead of their turn, by revision. */
  readonly #pending = new Map<number, ResourceChange>();

  /** The latest changes, without a gap up to the present revision. */
  #history: ResourceChange[] = [];

  #view = ReplicaView.create(0, []);

  #headRevision = 0;

  constructor(keptChanges: number, logger: Logger) {
    this.#keptChanges = keptChanges;
    this.#logger = logger;
  }

  get view(): ReplicaView {
    return this.#view;
  }

  get revision(): number {
    return this.#view.revision;
  }

  /** Highest revision heard of from anyone. */
  get headRevision(): number {
    return this.#headRevision;
  }

  get isBehind(): boolean {
    return this.revision < this.#headRevision;
  }

  observeHead(revision: number): void {
    this.#headRevision = Math.max(this.#headRevision, revision);
  }

  onChange(listener: ConfigurationListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Takes in changes in any order, applies those whose turn has come, and returns these. */
  applyChanges(changes: readonly ResourceChange[]): readonly ResourceChange[] {
    changes.forEach((change) => this.#keep(change));
    const applied = this.#drain();
    this.#notify(applied);
    return applied;
  }

  /** Replaces the state by a higher one; returns whether it did. */
  installSnapshot(snapshot: Snapshot): boolean {
    this.observeHead(snapshot.revision);
    if (snapshot.revision <= this.revision) {
      return false;
    }
    const before = this.#view;
    const after = ReplicaView.create(snapshot.revision, snapshot.resources);
    ReplicaState.#checkRises(before, after);
    this.#view = after;
    this.#history = [];
    this.#notify([...diffViews(before, after), ...this.#drain()]);
    return true;
  }

  /** Changes after the revision; undefined where the history does not reach back so far. */
  listChanges(afterRevision: number): readonly ResourceChange[] | undefined {
    const oldest = this.revision - this.#history.length;
    return afterRevision < oldest ? undefined : this.#history.slice(afterRevision - oldest);
  }

  static #checkRises(before: ReplicaView, after: ReplicaView): void {
    after.listAll().forEach(({ kind, metadata }) => {
      const old = before.get(kind, metadata.name);
      invariant(
        !old || metadata.resourceVersion >= old.metadata.resourceVersion,
        'configurationNeverReverts',
        `snapshot ${after.revision} holds an older ${kind} ${metadata.name} than ${before.revision}`,
      );
    });
  }

  #keep(change: ResourceChange): void {
    this.observeHead(change.revision);
    if (change.revision > this.revision && this.#pending.size < MAX_PENDING_CHANGES) {
      this.#pending.set(change.revision, change);
    }
  }

  #drain(): readonly ResourceChange[] {
    const applied: ResourceChange[] = [];
    let next = this.#pending.get(this.revision + 1);
    while (next) {
      this.#apply(next);
      applied.push(next);
      next = this.#pending.get(this.revision + 1);
    }
    this.#dropPassed();
    return applied;
  }

  #apply(change: ResourceChange): void {
    const present = this.#view.get(change.kind, change.name);
    invariant(
      change.revision === this.revision + 1 &&
        change.revision > (present?.metadata.resourceVersion ?? 0),
      'configurationNeverReverts',
      `change ${change.revision} of ${change.kind} ${change.name} at revision ${this.revision}`,
    );
    this.#view = this.#view.withChange(change);
    this.#history.push(change);
    if (this.#history.length > this.#keptChanges) {
      this.#history.shift();
    }
  }

  #dropPassed(): void {
    [...this.#pending.keys()]
      .filter((revision) => revision <= this.revision)
      .forEach((revision) => this.#pending.delete(revision));
  }

  #notify(changes: readonly ResourceChange[]): void {
    if (changes.length === 0) {
      return;
    }
    this.#listeners.forEach((listener) => {
      try {
        listener(changes);
      } catch (error) {
        this.#logger.error({ fault: getErrorMessage(error) }, 'configuration listener failed');
      }
    });
  }
}
