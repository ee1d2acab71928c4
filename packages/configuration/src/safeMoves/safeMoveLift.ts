/** Lifts a safe move, which is a risky operation and therefore requires the table. */
import { sleep, type Random } from '@snipehaven/common';
import { isPlatformError, PlatformOutcomeUnknownError } from '@snipehaven/platform';
import type { SafeMove } from '@snipehaven/protocol';
import { getBackoffMs } from '../backoff.js';
import type { ConfigurationSettings } from '../constants.js';
import {
  ConfigurationNotFoundError,
  ConfigurationOutcomeUnknownError,
  ConfigurationUnavailableError,
  SafeMoveRacedError,
} from '../errors.js';
import { compareSafeMoves } from './joinSafeMoves.js';
import type { SafeMoveState } from './safeMoveState.js';
import type { SafeMoveTable } from './safeMoveTable.js';

export interface LiftRequest {
  readonly key: string;
  readonly reason: string;
  readonly by: string;
}

/** One lift request; not reusable. */
export class SafeMoveLift {
  readonly #request: LiftRequest;

  readonly #state: SafeMoveState;

  readonly #table: SafeMoveTable;

  /**
   * The move to write. Its generation follows the one known here when the lift was requested,
   * because the operator did not know of moves that arrive while the table is read.
   */
  #target: SafeMove | undefined;

  #mayHaveWritten = false;

  constructor(request: LiftRequest, state: SafeMoveState, table: SafeMoveTable) {
    this.#request = request;
    this.#state = state;
    this.#table = table;
    const seen = state.get(request.key)?.move;
    this.#target = seen?.isActive ? this.#buildTarget(seen) : undefined;
  }

  /** Retries until the deadline; throws NotFound, Raced, Unavailable or OutcomeUnknown. */
  async run(settings: ConfigurationSettings, random: Random): Promise<void> {
    const deadlineMs = Date.now() + settings.writeDeadlineMs;
    let failures = 0;
    let cause: unknown;
    do {
      try {
        if (await this.#attempt()) {
          return;
        }
      } catch (error) {
        if (!isPlatformError(error)) {
          throw error;
        }
        cause = error;
      }
      await sleep(getBackoffMs(failures, settings.retryBaseMs, settings.retryMaxMs, random));
      failures += 1;
    } while (Date.now() < deadlineMs);
    throw this.#createFailure(cause);
  }

  async #attempt(): Promise<boolean> {
    const stored = await this.#table.read(this.#request.key);
    const present = this.#state.get(this.#request.key)?.move;
    if (!present) {
      throw new ConfigurationNotFoundError(`${this.#request.key} does not exist`);
    }
    if (!present.isActive) {
      return true;
    }
    this.#target ??= this.#buildTarget(present);
    this.#checkNotSuperseded(present, this.#target);
    return this.#write(this.#target, stored.rowVersion);
  }

  #buildTarget({ generation }: SafeMove): SafeMove {
    return { ...this.#request, generation: generation + 1, isActive: false, atMs: Date.now() };
  }

  /**
   * If an operator withdraws a version again while another lifts the old withdrawal, a lift that
   * took the next free generation would silently undo the new withdrawal. The lift therefore keeps
   * its original generation and fails if a newer move exists.
   */
  #checkNotSuperseded(present: SafeMove, target: SafeMove): void {
    if (compareSafeMoves(present, target) > 0) {
      throw new SafeMoveRacedError(
        `${target.key} was activated again by ${present.by} (${present.reason}); it stays in force`,
      );
    }
  }

  async #write(target: SafeMove, rowVersion: number): Promise<boolean> {
    try {
      return await this.#table.write(target, rowVersion);
    } catch (error) {
      this.#mayHaveWritten ||= error instanceof PlatformOutcomeUnknownError;
      throw error;
    }
  }

  #createFailure(cause: unknown): Error {
    const { key } = this.#request;
    return this.#mayHaveWritten
      ? new ConfigurationOutcomeUnknownError(`${key} may have been lifted: retry`, { cause })
      : new ConfigurationUnavailableError(
          `${key} stays in force: it can be lifted only while the table answers`,
          { cause },
        );
  }
}
