/** Wires the parts of the configuration of one daemon together. */
import { sleep, type ActorSystem, type Logger, type Random } from '@snipehaven/common';
import type { GossipTopic, MembershipView } from '@snipehaven/membership';
import type { ObjectStoreClient, TableClient } from '@snipehaven/platform';
import {
  pushedChangesSchema,
  type ConfigurationHandlers,
  type FetchChanges,
  type FetchedChanges,
  type Member,
  type PeerTransport,
  type PushChanges,
  type PushedChanges,
} from '@snipehaven/protocol';
import type {
  ConfigurationView,
  Kind,
  Resource,
  ResourceChange,
  ResourceManifest,
  WithdrawalSpec,
} from '@snipehaven/resources';
import type { TimelineRecorder } from '@snipehaven/timeline';
import { Bootstrapper } from './bootstrapper.js';
import { DEFAULT_SETTINGS, FETCH_LIMIT, type ConfigurationSettings } from './constants.js';
import { ContactTracker } from './contactTracker.js';
import { ConfigurationUnavailableError } from './errors.js';
import { FanOut } from './fanOut.js';
import { Maintenance } from './maintenance.js';
import { Poller } from './poller.js';
import { Readiness } from './readiness.js';
import { ReplicaState } from './replicaState.js';
import { checkFormat, restoreChange } from './restoreChange.js';
import { RevisionReports } from './revisionReports.js';
import { RevisionTopic } from './revisionTopic.js';
import { SafeMoveRegistry } from './safeMoves/safeMoveRegistry.js';
import { SnapshotStore } from './snapshotStore.js';
import { Synchroniser } from './synchroniser.js';
import { TableReader } from './tableReader.js';
import type {
  ApplyOptions,
  ConfigurationListener,
  ConfigurationStatus,
  ConfigurationStore,
  InForceStatus,
  RemoveOptions,
} from './types.js';
import { applyWithdrawal, removeWithdrawal, withWithdrawals } from './withdrawals.js';
import { Writer } from './writer.js';

export interface ConfigurationReplicaOptions {
  readonly table: TableClient;
  readonly objectStore: ObjectStoreClient;
  readonly transport: PeerTransport;
  readonly membership: MembershipView;
  readonly timeline: TimelineRecorder;
  readonly logger: Logger;
  readonly random: Random;
  readonly actorSystem: ActorSystem;
  /**
   * Replaces the default state; used by proofs that disable the revision order and expect a
   * violation.
   */
  readonly state?: ReplicaState;
  /** Overrides of the default settings. */
  readonly settings?: Partial<ConfigurationSettings>;
}

const STALE_CHECK_MS = 1_000;

export class ConfigurationReplica implements ConfigurationStore {
  /** Safe moves; loaded, propagated and stopped together with the replica. */
  readonly safeMoves: SafeMoveRegistry;

  /** Gossip topics to register with membership. */
  readonly topics: readonly GossipTopic[];

  /** Handlers for requests of peers. */
  readonly handlers: ConfigurationHandlers;

  readonly #options: ConfigurationReplicaOptions;

  readonly #settings: ConfigurationSettings;

  readonly #state: ReplicaState;

  readonly #contact = new ContactTracker();

  readonly #readiness: Readiness;

  readonly #reports: RevisionReports;

  readonly #synchroniser: Synchroniser;

  readonly #fanOut: FanOut<ResourceChange>;

  readonly #writer: Writer;

  readonly #bootstrapper: Bootstrapper;

  readonly #poller: Poller;

  readonly #maintenance: Maintenance;

  #abortController = new AbortController();

  #wasStale = false;

  #unsubscribePause: () => void = () => undefined;

  constructor(options: ConfigurationReplicaOptions) {
    this.#options = options;
    this.#settings = { ...DEFAULT_SETTINGS, ...options.settings };
    const base = { ...options, settings: this.#settings };
    this.safeMoves = new SafeMoveRegistry(base);
    this.#state = options.state ?? new ReplicaState(this.#settings.retainedChanges, options.logger);
    this.#readiness = new Readiness(this.#state, this.#contact, this.#settings);
    this.#reports = new RevisionReports(options.membership, this.#settings.gossipRepeatMs);
    const reader = new TableReader(options.table);
    const parts = { ...base, reader, state: this.#state, contact: this.#contact };
    this.#synchroniser = new Synchroniser({ ...parts, safeMoves: this.safeMoves.state });
    const synchroniser = this.#synchroniser;
    this.#fanOut = new FanOut<ResourceChange>({
      ...base,
      send: (member, changes, isRelay) => this.#sendChanges(member, changes, isRelay),
    });
    this.#writer = new Writer({
      ...parts,
      synchroniser,
      isLoaded: () => this.#readiness.isLoaded,
      broadcast: (changes) => this.#fanOut.broadcast(changes),
    });
    const snapshots = new SnapshotStore({
      ...parts,
      safeMoves: this.safeMoves.state,
      vm: options.membership.self.vm,
      retainedSnapshots: this.#settings.retainedSnapshots,
    });
    this.#bootstrapper = new Bootstrapper({
      ...parts,
      readiness: this.#readiness,
      synchroniser,
      safeMoveTable: this.safeMoves.table,
      snapshots,
    });
    this.#poller = new Poller({
      ...parts,
      synchroniser,
      broadcastLocally: (changes) => this.#fanOut.broadcastLocally(changes),
      loadSafeMoves: () => this.safeMoves.table.load(),
    });
    this.#maintenance = new Maintenance({ ...parts, readiness: this.#readiness, snapshots });
    const revisionTopic = new RevisionTopic({
      ...parts,
      reports: this.#reports,
      synchroniser,
      hasConfiguration: () => this.#readiness.hasConfiguration(),
    });
    this.topics = [revisionTopic, this.safeMoves.topic];
    this.handlers = {
      pushChanges: (message) => this.#handlePush(message),
      fetchChanges: (message) => this.#handleFetch(message),
      pushSafeMoves: (message) => this.safeMoves.handlePush(message),
    };
    this.#state.onChange((changes) => this.#recordApplied(changes));
  }

  /** Starts to load the configuration and keep it up to date; the status shows the readiness. */
  start(): void {
    this.#abortController = new AbortController();
    const { signal } = this.#abortController;
    void this.#run(signal);
    void this.safeMoves.run(signal);
    void this.#maintenance.run(signal);
    void this.#monitorStaleness(signal);
    this.#unsubscribePause = this.#options.membership.onPause(() => this.#contact.recordResume());
  }

  stop(): void {
    this.#abortController.abort();
    this.#unsubscribePause();
    this.#writer.stop();
  }

  getView(): ConfigurationView {
    return withWithdrawals(this.#state.view, this.safeMoves);
  }

  getStatus(): ConfigurationStatus {
    return {
      revision: this.#state.revision,
      headRevision: this.#state.headRevision,
      isStale: this.#contact.isStale(this.#settings.staleAfterMs),
      hasConfiguration: this.#readiness.hasConfiguration(),
      inForce: this.getInForce(this.#state.headRevision),
    };
  }

  /** Propagation of a single revision, such as the resourceVersion of a resource. */
  getInForce(revision: number): InForceStatus {
    return this.#reports.getInForce(revision, this.#state.revision);
  }

  async apply(manifest: ResourceManifest, options: ApplyOptions): Promise<Resource> {
    const { kind, name, spec, resourceVersion } = manifest;
    const version = resourceVersion === undefined ? {} : { resourceVersion };
    if (kind === 'Withdrawal') {
      const withdrawal = spec as WithdrawalSpec;
      return applyWithdrawal(this.safeMoves, name, withdrawal, { ...options, ...version });
    }
    const written = await this.#write(kind, name, { ...options, ...version }, spec);
    if (!written) {
      throw new ConfigurationUnavailableError(`${kind} ${name} was deleted concurrently`);
    }
    return written;
  }

  async remove(kind: Kind, name: string, options: RemoveOptions): Promise<void> {
    if (kind === 'Withdrawal') {
      await removeWithdrawal(this.safeMoves, name, options);
      return;
    }
    await this.#write(kind, name, options);
  }

  listChanges(afterRevision: number): readonly ResourceChange[] | undefined {
    return this.#state.listChanges(afterRevision);
  }

  onChange(listener: ConfigurationListener): () => void {
    return this.#state.onChange(listener);
  }

  #write(
    kind: Kind,
    name: string,
    options: RemoveOptions,
    spec?: ResourceManifest['spec'],
  ): Promise<Resource | undefined> {
    const { clientRequestId, isDryRun = false, resourceVersion } = options;
    return this.#writer.write({
      kind,
      name,
      clientRequestId,
      isDryRun,
      ...(resourceVersion === undefined ? {} : { resourceVersion }),
      ...(spec === undefined ? {} : { spec }),
    });
  }

  async #run(signal: AbortSignal): Promise<void> {
    await this.#bootstrapper.run(signal);
    await this.#poller.run(signal);
  }

  async #sendChanges(
    member: Member,
    changes: readonly ResourceChange[],
    isRelay: boolean,
  ): Promise<void> {
    const { transport, membership } = this.#options;
    const peer = transport.getPeer(member.address);
    const from = membership.self.address;
    const answer = await peer.configuration.pushChanges({ from, changes: [...changes], isRelay });
    const pushed = checkFormat('response to a push', () => pushedChangesSchema.parse(answer));
    this.#reports.observeMember(member, pushed.appliedRevision);
    if (pushed.report) {
      this.#reports.observeReport(pushed.report);
    }
  }

  async #handlePush({ from, changes, isRelay }: PushChanges): Promise<PushedChanges> {
    const restored = changes.map(restoreChange);
    this.#state.applyChanges(restored);
    if (this.#state.isBehind) {
      this.#synchroniser.startCatchUp(from);
    }
    if (!isRelay) {
      return { appliedRevision: this.#state.revision };
    }
    await Promise.race([
      this.#fanOut.broadcastLocally(restored),
      sleep(this.#settings.relayWaitMs),
    ]);
    const { revision } = this.#state;
    return { appliedRevision: revision, report: this.#reports.buildOwnReport(revision) };
  }

  async #handleFetch({ afterRevision, withSafeMoves }: FetchChanges): Promise<FetchedChanges> {
    if (!this.#readiness.hasConfiguration()) {
      throw new ConfigurationUnavailableError('this daemon has no configuration yet');
    }
    const { view, headRevision } = this.#state;
    const base = {
      headRevision,
      ...(withSafeMoves ? { safeMoves: this.safeMoves.state.listBatch() } : {}),
    };
    const changes = this.#state.listChanges(afterRevision);
    return changes
      ? { ...base, kind: 'changes', changes: changes.slice(0, FETCH_LIMIT) }
      : { ...base, kind: 'snapshot', revision: view.revision, resources: [...view.listAll()] };
  }

  async #monitorStaleness(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isStale = this.#contact.isStale(this.#settings.staleAfterMs);
      if (isStale && !this.#wasStale) {
        const { revision } = this.#state;
        this.#options.timeline.record('configurationStale', {}, { revision });
        this.#options.logger.warn({ revision }, 'configuration is stale');
      }
      this.#wasStale = isStale;
      await sleep(STALE_CHECK_MS, signal);
    }
  }

  /**
   * Records one event for all changes applied together, so that booting does not push all other
   * events out of the ring buffer.
   */
  #recordApplied(changes: readonly ResourceChange[]): void {
    const { revision } = this.#state;
    const [first] = changes;
    const detail = { revision, changes: changes.length };
    const single = changes.length === 1 && first ? { kind: first.kind, name: first.name } : {};
    this.#options.timeline.record('configurationApplied', {}, { ...detail, ...single });
  }
}
