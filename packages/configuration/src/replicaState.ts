/** The configuration applied by a daemon, and the recent changes that led to it. */
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

/** Changes that take a watcher from the old view to the new one, by ascending revision. */
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
 * Messages may be reordered or duplicated, and an old snapshot may arrive late. Applying each as it
 * arrives could restore old permissions of a team and lower the revision. Changes are therefore
 * applied only in gapless order, and snapshots only if they are newer.
 */
export class ReplicaState {
  readonly #retainedChanges: number;

  readonly #logger: Logger;

  readonly #listeners = new Set<ConfigurationListener>();

  /** Out-of-order changes by revision. */
  readonly #pending = new Map<number, ResourceChange>();

  /** Most recent changes, without gaps up to the current revision. */
  #history: ResourceChange[] = [];

  #view = ReplicaView.create(0, []);

  #headRevision = 0;

  constructor(retainedChanges: number, logger: Logger) {
    this.#retainedChanges = retainedChanges;
    this.#logger = logger;
  }

  get view(): ReplicaView {
    return this.#view;
  }

  get revision(): number {
    return this.#view.revision;
  }

  /** Highest revision known from any source. */
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

  /**
   * Accepts changes in any order, applies those that follow the current revision, and returns the
   * applied ones.
   */
  applyChanges(changes: readonly ResourceChange[]): readonly ResourceChange[] {
    changes.forEach((change) => this.#addPending(change));
    const applied = this.#applyPending();
    this.#notify(applied);
    return applied;
  }

  /** Installs the snapshot if it is newer; returns whether it did. */
  installSnapshot(snapshot: Snapshot): boolean {
    this.observeHead(snapshot.revision);
    if (snapshot.revision <= this.revision) {
      return false;
    }
    const before = this.#view;
    const after = ReplicaView.create(snapshot.revision, snapshot.resources);
    ReplicaState.#checkNotOlder(before, after);
    this.#view = after;
    this.#history = [];
    this.#notify([...diffViews(before, after), ...this.#applyPending()]);
    return true;
  }

  /** Changes after the revision; undefined if the history does not reach back that far. */
  listChanges(afterRevision: number): readonly ResourceChange[] | undefined {
    const oldest = this.revision - this.#history.length;
    return afterRevision < oldest ? undefined : this.#history.slice(afterRevision - oldest);
  }

  static #checkNotOlder(before: ReplicaView, after: ReplicaView): void {
    after.listAll().forEach(({ kind, metadata }) => {
      const old = before.get(kind, metadata.name);
      invariant(
        !old || metadata.resourceVersion >= old.metadata.resourceVersion,
        'configurationNeverReverts',
        `snapshot ${after.revision} contains an older ${kind} ${metadata.name} than revision ${before.revision}`,
      );
    });
  }

  #addPending(change: ResourceChange): void {
    this.observeHead(change.revision);
    if (change.revision > this.revision && this.#pending.size < MAX_PENDING_CHANGES) {
      this.#pending.set(change.revision, change);
    }
  }

  #applyPending(): readonly ResourceChange[] {
    const applied: ResourceChange[] = [];
    let next = this.#pending.get(this.revision + 1);
    while (next) {
      this.#apply(next);
      applied.push(next);
      next = this.#pending.get(this.revision + 1);
    }
    this.#removeObsoletePending();
    return applied;
  }

  #apply(change: ResourceChange): void {
    const present = this.#view.get(change.kind, change.name);
    invariant(
      change.revision === this.revision + 1 &&
        change.revision > (present?.metadata.resourceVersion ?? 0),
      'configurationNeverReverts',
      `change ${change.revision} of ${change.kind} ${change.name} does not follow revision ${this.revision}`,
    );
    this.#view = this.#view.withChange(change);
    this.#history.push(change);
    if (this.#history.length > this.#retainedChanges) {
      this.#history.shift();
    }
  }

  #removeObsoletePending(): void {
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
