/** A configuration in memory, with compare-and-set, client request ids and a bounded history. */
import {
  applyWithdrawal,
  ConfigurationConflictError,
  ConfigurationOutcomeUnknownError,
  ConfigurationUnavailableError,
  removeWithdrawal,
  withWithdrawals,
} from '@snipehaven/configuration';
import type {
  ApplyOptions,
  ConfigurationListener,
  ConfigurationStatus,
  ConfigurationStore,
  RemoveOptions,
  SafeMoves,
} from '@snipehaven/configuration';
import type {
  ConfigurationView,
  Kind,
  Resource,
  ResourceChange,
  ResourceManifest,
  WithdrawalSpec,
} from '@snipehaven/resources';

const getKey = (kind: Kind, name: string): string => `${kind}/${name}`;

export class FakeConfigurationStore implements ConfigurationStore {
  /** Changes kept for watchers. */
  historyLimit = 100;

  isAway = false;

  isStale = false;

  /** The next write takes effect, but its reply is an error. */
  losesNextReply = false;

  /** Revision of each incarnation. */
  readonly applied = new Map<string, number>();

  writes = 0;

  readonly #resources = new Map<string, Resource>();

  readonly #history: ResourceChange[] = [];

  readonly #listeners = new Set<ConfigurationListener>();

  readonly #written = new Map<string, Resource | undefined>();

  readonly #safeMoves: SafeMoves;

  #revision = 0;

  constructor(safeMoves: SafeMoves) {
    this.#safeMoves = safeMoves;
  }

  getView(): ConfigurationView {
    const resources = [...this.#resources.values()];
    const view = {
      revision: this.#revision,
      get: <K extends Kind>(kind: K, name: string) =>
        this.#resources.get(getKey(kind, name)) as Resource<K> | undefined,
      list: <K extends Kind>(kind: K) =>
        resources.filter((resource) => resource.kind === kind) as unknown as Resource<K>[],
    };
    return withWithdrawals(view, this.#safeMoves);
  }

  getStatus(): ConfigurationStatus {
    const revisions = [...this.applied.values(), this.#revision];
    const behind = [...this.applied].filter((entry) => entry[1] < this.#revision);
    return {
      revision: this.#revision,
      headRevision: this.#revision,
      isStale: this.isStale,
      hasConfiguration: true,
      inForce: {
        revision: this.#revision,
        totalDaemons: revisions.length,
        appliedDaemons: revisions.length - behind.length,
        minRevision: Math.min(...revisions),
        behind: behind.map((entry) => entry[0]),
      },
    };
  }

  async apply(manifest: ResourceManifest, options: ApplyOptions): Promise<Resource> {
    if (manifest.kind === 'Withdrawal') {
      const spec = manifest.spec as WithdrawalSpec;
      return applyWithdrawal(this.#safeMoves, manifest.name, spec, { ...options, ...manifest });
    }
    const repeated = this.#written.get(options.clientRequestId);
    if (repeated !== undefined) {
      return repeated;
    }
    const present = this.#check(manifest.kind, manifest.name, manifest.resourceVersion);
    const resource = this.#build(manifest, present);
    if (options.isDryRun !== true) {
      this.#resources.set(getKey(manifest.kind, manifest.name), resource);
      this.#written.set(options.clientRequestId, resource);
      this.#commit({ kind: manifest.kind, name: manifest.name, resource });
    }
    return resource;
  }

  async remove(kind: Kind, name: string, options: RemoveOptions): Promise<void> {
    if (kind === 'Withdrawal') {
      await removeWithdrawal(this.#safeMoves, name, options);
      return;
    }
    this.#check(kind, name, options.resourceVersion);
    if (options.isDryRun !== true) {
      this.#resources.delete(getKey(kind, name));
      this.#commit({ kind, name });
    }
  }

  listChanges(afterRevision: number): readonly ResourceChange[] | undefined {
    const oldest = this.#history[0]?.revision ?? this.#revision + 1;
    return afterRevision + 1 < oldest
      ? undefined
      : this.#history.filter((change) => change.revision > afterRevision);
  }

  onChange(listener: ConfigurationListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  get listenerCount(): number {
    return this.#listeners.size;
  }

  #check(kind: Kind, name: string, resourceVersion: number | undefined): Resource | undefined {
    if (this.isAway) {
      throw new ConfigurationUnavailableError('the table is away');
    }
    const present = this.#resources.get(getKey(kind, name));
    if (
      resourceVersion !== undefined &&
      resourceVersion !== (present?.metadata.resourceVersion ?? 0)
    ) {
      throw new ConfigurationConflictError(kind, name, resourceVersion, present);
    }
    return present;
  }

  #build({ kind, name, spec }: ResourceManifest, present: Resource | undefined): Resource {
    const metadata = {
      name,
      uid: present?.metadata.uid ?? `uid-${this.#revision + 1}`,
      resourceVersion: this.#revision + 1,
      generation: (present?.metadata.generation ?? 0) + 1,
      createdAtMs: 1_000,
      updatedAtMs: 2_000,
    };
    return { kind, metadata, spec };
  }

  #commit(change: Omit<ResourceChange, 'revision'>): void {
    this.writes += 1;
    this.#revision += 1;
    const full = { revision: this.#revision, ...change };
    this.#history.push(full);
    this.#history.splice(0, Math.max(0, this.#history.length - this.historyLimit));
    this.#listeners.forEach((listener) => listener([full]));
    if (this.losesNextReply) {
      this.losesNextReply = false;
      throw new ConfigurationOutcomeUnknownError('the reply was lost');
    }
  }
}
