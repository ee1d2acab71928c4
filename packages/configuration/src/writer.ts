/** Writes resources to the table, one at a time. */
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
  isAlreadyWritten,
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
  /** Whether the configuration has been loaded, so that references can be checked. */
  readonly isLoaded: () => boolean;
  /** Spreads an accepted change. */
  readonly spread: (changes: readonly ResourceChange[]) => void;
}

/** The resource as it is after the write; undefined: deleted. */
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

interface ReadBase extends WriteBase {
  /** The row that an earlier try of the same request left. */
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

  /** Writes or deletes; resolves with the resource as written. */
  write(request: WriteRequest): Promise<Resource | undefined> {
    return new Promise((resolve, reject) => {
      const deadlineMs = Date.now() + this.#options.settings.writeDeadlineMs;
      this.#actor.tell({ type: 'write', request, deadlineMs, resolve, reject });
    });
  }

  /** Refuses what is still queued; the write under way goes on. */
  stop(): void {
    this.#isStopped = true;
  }

  async #handleWrite({ request, deadlineMs, resolve, reject }: WriteMessage): Promise<void> {
    try {
      const outcome = await this.#tryUntilDeadline(request, deadlineMs);
      resolve(outcome.resource);
    } catch (error) {
      reject(error);
    }
  }

  /** A write whose turn comes after its deadline is refused untried: its operator has given up. */
  async #tryUntilDeadline(request: WriteRequest, deadlineMs: number): Promise<WriteOutcome> {
    const { settings, random } = this.#options;
    const progress = new WriteProgress(deadlineMs);
    if (this.#isStopped || progress.isOver()) {
      throw Writer.#giveUp(request, progress, undefined);
    }
    for (;;) {
      const outcome = await this.#tryOnce(request, progress);
      if (outcome) {
        return outcome;
      }
      const { retryBaseMs, retryMaxMs } = settings;
      await sleep(getBackoffMs(progress.nextFailure(), retryBaseMs, retryMaxMs, random));
    }
  }

  /** Undefined: lost a race or the table did not answer, and there is time for another try. */
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
    if (progress.isOver()) {
      throw Writer.#giveUp(request, progress, cause);
    }
    return undefined;
  }

  static #giveUp({ kind, name }: WriteRequest, progress: WriteProgress, cause: unknown): Error {
    return progress.mayHaveWritten
      ? new ConfigurationOutcomeUnknownError(
          `${kind} ${name} may have been written: repeat with the same client request id`,
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
    this.#check(request, base);
    if (request.spec !== undefined && isAlreadyWritten(request, base.present)) {
      return { resource: base.present };
    }
    const change = buildChange(request, base, this.#options.random);
    return request.isDryRun
      ? { resource: change.resource }
      : this.#commit(request, base, change, progress);
  }

  async #readBase(request: WriteRequest): Promise<ReadBase> {
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
   * References are checked against the very revision that the write's condition names. False: the head as
   * read is older than what is in force, because another write overtook the read.
   */
  async #catchUp({ head }: WriteBase): Promise<boolean> {
    const { state, synchroniser, isLoaded } = this.#options;
    if (!isLoaded()) {
      throw new ConfigurationUnavailableError('the configuration has not been loaded yet');
    }
    state.observeHead(head.revision);
    await synchroniser.catchUpTo(head.revision);
    return state.revision === head.revision;
  }

  #check(request: WriteRequest, { present }: WriteBase): void {
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
      progress.noteFault(error);
      throw error;
    }
    this.#accept(change);
    return { resource: change.resource };
  }

  /**
   * What goes wrong: the table takes the write and its answer is lost; a second write would undo what
   * another operator wrote meanwhile. One notices two revisions from one command. The request row tells that
   * the write was done, and its change row what was written.
   */
  async #resolveWritten(request: WriteRequest, written: RequestRow): Promise<WriteOutcome> {
    if (written.digest !== digestRequest(request)) {
      const rule = 'was used for another write already';
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
      this.#accept(change);
    }
    return { resource: change.resource };
  }

  #accept(change: ResourceChange): void {
    const { state, timeline, spread } = this.#options;
    state.applyChanges([change]);
    const { revision, kind, name } = change;
    invariant(
      state.revision >= revision,
      'configurationNeverReverts',
      `accepted revision ${revision} is not in force at ${state.revision}`,
    );
    timeline.record('configurationAccepted', {}, { revision, kind, name });
    spread([change]);
  }
}
