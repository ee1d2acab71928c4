/** Writes resources to the table, one write at a time. */
import {
  invariant,
  sleep,
  spawnHandlerActor,
  type ActorSystem,
  type HandlerActor,
  type Random,
} from '@snipehaven/common';
import { isPlatformError, type TableClient, type TableRow } from '@snipehaven/platform';
import { ResourceInvalidError, type Resource, type ResourceChange } from '@snipehaven/resources';
import type { TimelineRecorder } from '@snipehaven/timeline';
import { getBackoffMs } from './backoff.js';
import { HEAD_KEY, type ConfigurationSettings } from './constants.js';
import {
  ConfigurationConflictError,
  ConfigurationNotFoundError,
  ConfigurationOutcomeUnknownError,
  ConfigurationUnavailableError,
} from './errors.js';
import { checkNotReferenced, checkReferences } from './references.js';
import type { ReplicaState } from './replicaState.js';
import {
  getChangeKey,
  getRequestKey,
  getResourceKey,
  restoreChangeRow,
  restoreHead,
  restoreRequestRow,
  restoreResourceRow,
  type RequestRow,
} from './rows.js';
import type { Synchroniser } from './synchroniser.js';
import { WriteProgress } from './writeProgress.js';
import {
  buildChange,
  buildTransaction,
  digestRequest,
  isUnchanged,
  type WriteBase,
  type WriteRequest,
} from './writePlan.js';

export interface WriterOptions {
  readonly table: TableClient;
  readonly state: ReplicaState;
  readonly synchroniser: Synchroniser;
  readonly random: Random;
  readonly actorSystem: ActorSystem;
  readonly timeline: TimelineRecorder;
  readonly settings: ConfigurationSettings;
  /** Whether the configuration is loaded, which checking references requires. */
  readonly isLoaded: () => boolean;
  /** Sends an accepted change to all peers. */
  readonly broadcast: (changes: readonly ResourceChange[]) => void;
}

/** The resource after the write; undefined if it was deleted. */
interface WriteOutcome {
  readonly resource: Resource | undefined;
}

interface WriteMessage {
  readonly type: 'write';
  readonly request: WriteRequest;
  readonly deadlineMs: number;
  readonly resolve: (resource: Resource | undefined) => void;
  readonly reject: (error: unknown) => void;
}

interface StoredBase extends WriteBase {
  /** Request row left by an earlier attempt of the same request. */
  readonly written: RequestRow | undefined;
}

const findRow = (rows: readonly TableRow[], key: string): TableRow | undefined =>
  rows.find((row) => row.key === key);

export class Writer {
  readonly #options: WriterOptions;

  readonly #actor: HandlerActor<WriteMessage>;

  #isStopped = false;

  constructor(options: WriterOptions) {
    this.#options = options;
    this.#actor = spawnHandlerActor<WriteMessage>(
      options.actorSystem,
      'configurationWriter',
      { write: (message) => this.#handleWrite(message) },
      () => undefined,
    );
  }

  /** Writes or deletes a resource; resolves with the resource as written. */
  write(request: WriteRequest): Promise<Resource | undefined> {
    return new Promise((resolve, reject) => {
      const deadlineMs = Date.now() + this.#options.settings.writeDeadlineMs;
      this.#actor.tell({ type: 'write', request, deadlineMs, resolve, reject });
    });
  }

  /** Rejects queued writes; a write in progress continues. */
  stop(): void {
    this.#isStopped = true;
  }

  async #handleWrite({ request, deadlineMs, resolve, reject }: WriteMessage): Promise<void> {
    try {
      const outcome = await this.#writeWithRetries(request, deadlineMs);
      resolve(outcome.resource);
    } catch (error) {
      reject(error);
    }
  }

  /**
   * A write that reaches the front of the queue after its deadline is rejected without an attempt,
   * because its operator has given up.
   */
  async #writeWithRetries(request: WriteRequest, deadlineMs: number): Promise<WriteOutcome> {
    const { settings, random } = this.#options;
    const progress = new WriteProgress(deadlineMs);
    if (this.#isStopped || progress.isExpired()) {
      throw Writer.#createFailure(request, progress, undefined);
    }
    for (;;) {
      const outcome = await this.#tryOnce(request, progress);
      if (outcome) {
        return outcome;
      }
      const { retryBaseMs, retryMaxMs } = settings;
      await sleep(getBackoffMs(progress.countFailure(), retryBaseMs, retryMaxMs, random));
    }
  }

  /**
   * Returns undefined if the write lost a race or the table did not answer, and there is time for
   * another attempt.
   */
  async #tryOnce(
    request: WriteRequest,
    progress: WriteProgress,
  ): Promise<WriteOutcome | undefined> {
    let cause: unknown;
    try {
      const outcome = await this.#attempt(request, progress);
      if (outcome) {
        return outcome;
      }
    } catch (error) {
      if (!isPlatformError(error)) {
        throw error;
      }
      cause = error;
    }
    if (progress.isExpired()) {
      throw Writer.#createFailure(request, progress, cause);
    }
    return undefined;
  }

  static #createFailure(
    { kind, name }: WriteRequest,
    progress: WriteProgress,
    cause: unknown,
  ): Error {
    return progress.mayHaveWritten
      ? new ConfigurationOutcomeUnknownError(
          `${kind} ${name} may have been written: retry with the same client request id`,
          { cause },
        )
      : new ConfigurationUnavailableError(
          `${kind} ${name} was not written: the table does not answer or is too busy`,
          { cause },
        );
  }

  async #attempt(
    request: WriteRequest,
    progress: WriteProgress,
  ): Promise<WriteOutcome | undefined> {
    const base = await this.#readBase(request);
    if (base.written) {
      return this.#resolveWritten(request, base.written);
    }
    if (!(await this.#catchUp(base))) {
      return undefined;
    }
    this.#validate(request, base);
    if (request.spec !== undefined && isUnchanged(request, base.present)) {
      return { resource: base.present };
    }
    const change = buildChange(request, base, this.#options.random);
    return request.isDryRun
      ? { resource: change.resource }
      : this.#commit(request, base, change, progress);
  }

  async #readBase(request: WriteRequest): Promise<StoredBase> {
    const resourceKey = getResourceKey(request.kind, request.name);
    const requestKey = getRequestKey(request.clientRequestId);
    const rows = await this.#options.table.read([HEAD_KEY, resourceKey, requestKey]);
    const resourceRow = findRow(rows, resourceKey);
    const requestRow = findRow(rows, requestKey);
    return {
      head: restoreHead(findRow(rows, HEAD_KEY)),
      present: resourceRow && restoreResourceRow(resourceRow),
      rowVersion: resourceRow?.version ?? 0,
      written: requestRow && restoreRequestRow(requestRow),
    };
  }

  /**
   * References are checked against exactly the revision that the write is conditional on. Returns
   * false if the head that was read is older than the applied revision, because another write
   * overtook the read.
   */
  async #catchUp({ head }: WriteBase): Promise<boolean> {
    const { state, synchroniser, isLoaded } = this.#options;
    if (!isLoaded()) {
      throw new ConfigurationUnavailableError('the configuration is not loaded yet');
    }
    state.observeHead(head.revision);
    await synchroniser.catchUpTo(head.revision);
    return state.revision === head.revision;
  }

  #validate(request: WriteRequest, { present }: WriteBase): void {
    const { kind, name, spec, resourceVersion } = request;
    const found = present?.metadata.resourceVersion ?? 0;
    if (resourceVersion !== undefined && resourceVersion !== found) {
      throw new ConfigurationConflictError(kind, name, resourceVersion, present);
    }
    const { view } = this.#options.state;
    if (spec !== undefined) {
      checkReferences({ kind, name, spec }, view);
      return;
    }
    if (!present) {
      throw new ConfigurationNotFoundError(`${kind} ${name} does not exist`);
    }
    checkNotReferenced(kind, name, view);
  }

  async #commit(
    request: WriteRequest,
    base: WriteBase,
    change: ResourceChange,
    progress: WriteProgress,
  ): Promise<WriteOutcome | undefined> {
    const transaction = buildTransaction(request, base, change);
    try {
      const [result] = await this.#options.table.transact([transaction]);
      if (result?.kind !== 'committed') {
        return undefined;
      }
    } catch (error) {
      progress.recordError(error);
      throw error;
    }
    this.#applyAccepted(change);
    return { resource: change.resource };
  }

  /**
   * If the reply of the table is lost, writing again could undo a concurrent change of another
   * operator, and one command would create two revisions. The request row shows that the write took
   * effect, and its change row what was written.
   */
  async #resolveWritten(request: WriteRequest, written: RequestRow): Promise<WriteOutcome> {
    if (written.digest !== digestRequest(request)) {
      const rule = 'was already used for another write';
      throw new ResourceInvalidError(`${request.kind} ${request.name}`, [
        { path: 'clientRequestId', rule },
      ]);
    }
    const [row] = await this.#options.table.read([getChangeKey(written.revision)]);
    if (!row) {
      return { resource: this.#options.state.view.get(request.kind, request.name) };
    }
    const { change } = restoreChangeRow(row);
    if (change.revision > this.#options.state.revision) {
      await this.#options.synchroniser.catchUpTo(change.revision);
      this.#applyAccepted(change);
    }
    return { resource: change.resource };
  }

  #applyAccepted(change: ResourceChange): void {
    const { state, timeline, broadcast } = this.#options;
    state.applyChanges([change]);
    const { revision, kind, name } = change;
    invariant(
      state.revision >= revision,
      'configurationNeverReverts',
      `accepted revision ${revision} was not applied, the replica is at ${state.revision}`,
    );
    timeline.record('configurationAccepted', {}, { revision, kind, name });
    broadcast([change]);
  }
}
