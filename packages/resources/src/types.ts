/** Resources as stored, and as operators send them. */
import type { Kind, Spec } from './kinds.js';

/** What the system keeps about a resource beside its spec. */
export interface ResourceMetadata {
  readonly name: string;
  /** Differs for a resource deleted and created again under the same name. */
  readonly uid: string;
  /** Configuration revision of the last write; the compare-and-set token. */
  readonly resourceVersion: number;
  /** Counts the changes of the spec, from 1. */
  readonly generation: number;
  readonly createdAtMs: number;
  readonly updatedAtMs: number;
}

/** A stored resource of one kind. */
export interface Resource<K extends Kind = Kind> {
  readonly kind: K;
  readonly metadata: ResourceMetadata;
  readonly spec: Spec<K>;
}

/** A resource as an operator writes it. */
export interface ResourceManifest<K extends Kind = Kind> {
  readonly kind: K;
  readonly name: string;
  /** Present: the write happens only if this is the stored version; 0 means absent. */
  readonly resourceVersion?: number;
  readonly spec: Spec<K>;
}

/** One step of the configuration: a resource written or deleted at a revision. */
export interface ResourceChange {
  readonly revision: number;
  readonly kind: Kind;
  readonly name: string;
  /** Absent for a deletion. */
  readonly resource?: Resource;
}

/** A readable state of the configuration at one revision. */
export interface ConfigurationView {
  readonly revision: number;
  get<K extends Kind>(kind: K, name: string): Resource<K> | undefined;
  list<K extends Kind>(kind: K): readonly Resource<K>[];
}
