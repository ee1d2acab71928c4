/** Immutable views of the configuration. */
import type { ConfigurationView, Kind, Resource, ResourceChange } from '@snipehaven/resources';

type ResourcesByName = ReadonlyMap<string, Resource>;
type ResourcesByKind = ReadonlyMap<Kind, ResourcesByName>;

const EMPTY: ResourcesByName = new Map();

const applyToNames = (names: ResourcesByName, change: ResourceChange): ResourcesByName => {
  const next = new Map(names);
  if (change.resource) {
    next.set(change.name, change.resource);
  } else {
    next.delete(change.name);
  }
  return next;
};

/**
 * The configuration at one revision. A change creates a new view that shares the unchanged kinds.
 */
export class ReplicaView implements ConfigurationView {
  readonly revision: number;

  readonly #kinds: ResourcesByKind;

  private constructor(revision: number, kinds: ResourcesByKind) {
    this.revision = revision;
    this.#kinds = kinds;
  }

  /** Creates the view of a snapshot. */
  static create(revision: number, resources: readonly Resource[]): ReplicaView {
    const kinds = new Map<Kind, Map<string, Resource>>();
    resources.forEach((resource) => {
      const names = kinds.get(resource.kind) ?? new Map<string, Resource>();
      kinds.set(resource.kind, names.set(resource.metadata.name, resource));
    });
    return new ReplicaView(revision, kinds);
  }

  get<K extends Kind>(kind: K, name: string): Resource<K> | undefined {
    return this.#kinds.get(kind)?.get(name) as Resource<K> | undefined;
  }

  list<K extends Kind>(kind: K): readonly Resource<K>[] {
    return [...(this.#kinds.get(kind) ?? EMPTY).values()] as Resource<K>[];
  }

  listAll(): readonly Resource[] {
    return [...this.#kinds.values()].flatMap((names) => [...names.values()]);
  }

  /** Returns the view after one more change. */
  withChange(change: ResourceChange): ReplicaView {
    const names = applyToNames(this.#kinds.get(change.kind) ?? EMPTY, change);
    const kinds = new Map(this.#kinds).set(change.kind, names);
    return new ReplicaView(change.revision, kinds);
  }
}
