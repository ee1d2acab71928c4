/** Interface of the configuration for other packages. */
import type { SafeMove } from '@snipehaven/protocol';
import type {
  ConfigurationView,
  Kind,
  Resource,
  ResourceChange,
  ResourceManifest,
} from '@snipehaven/resources';

export interface ApplyOptions {
  /** Makes writes idempotent: the same id never writes twice. */
  readonly clientRequestId: string;
  readonly isDryRun?: boolean;
  /** Name of the requester, stored in safe moves. */
  readonly by?: string;
}

/** Propagation of a revision, from the revisions that members report as applied. */
export interface InForceStatus {
  readonly revision: number;
  readonly totalDaemons: number;
  readonly appliedDaemons: number;
  /** Lowest revision reported by any live member. */
  readonly minRevision: number;
  /** Incarnations that have not applied the revision. */
  readonly behind: readonly string[];
}

export interface ConfigurationStatus {
  readonly revision: number;
  /** Highest revision known from any source. */
  readonly headRevision: number;
  /** Whether there was no contact with the table, directly or through a peer, for too long. */
  readonly isStale: boolean;
  readonly hasConfiguration: boolean;
  readonly inForce: InForceStatus;
}

/** Called with the changes that were applied. */
export type ConfigurationListener = (changes: readonly ResourceChange[]) => void;

export interface ConfigurationStore {
  getView(): ConfigurationView;
  getStatus(): ConfigurationStatus;
  /**
   * Writes a resource; throws ConfigurationConflictError (with the stored resource) or
   * ConfigurationUnavailableError.
   */
  apply(manifest: ResourceManifest, options: ApplyOptions): Promise<Resource>;
  remove(kind: Kind, name: string, options: RemoveOptions): Promise<void>;
  /** Retained changes after a revision; undefined if they are no longer retained. */
  listChanges(afterRevision: number): readonly ResourceChange[] | undefined;
  onChange(listener: ConfigurationListener): () => void;
}

export interface RemoveOptions extends ApplyOptions {
  readonly resourceVersion?: number;
}

export type SafeMoveKind = 'withdraw' | 'quarantine' | 'drain' | 'evacuate';

/** Whether a safe move has been written to the table. */
export type Durability = 'durable' | 'notDurableYet';

export interface SafeMoveStatus {
  readonly move: SafeMove;
  readonly durability: Durability;
}

/**
 * Safe moves only restrict what may run, so any daemon may activate one immediately, even while
 * partitioned. Only a higher generation lifts one.
 */
export interface SafeMoves {
  /**
   * Activates a safe move: it takes effect here immediately, is sent to all peers and is written to
   * the table once that is available.
   */
  activate(
    kind: SafeMoveKind,
    subject: string,
    reason: string,
    by: string,
  ): Promise<SafeMoveStatus>;
  /**
   * Lifts a safe move. Lifting is not itself a safe move and is rejected while the table is
   * unavailable.
   */
  lift(kind: SafeMoveKind, subject: string, reason: string, by: string): Promise<SafeMoveStatus>;
  isActive(kind: SafeMoveKind, subject: string): boolean;
  /** Whether the version is withdrawn or quarantined, so that it gets no new work. */
  isVersionBlocked(version: string): boolean;
  list(): readonly SafeMoveStatus[];
  onChange(listener: (move: SafeMove) => void): () => void;
}
