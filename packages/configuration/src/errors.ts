/** Errors of the configuration layer. */
import { SnipehavenError } from '@snipehaven/common';
import type { Kind, Resource } from '@snipehaven/resources';

/** Another write came first: the resource is not at the version that the operator read. */
export class ConfigurationConflictError extends SnipehavenError {
  readonly code = 'configuration_conflict';

  /** The resource as stored; undefined: it does not exist. */
  readonly present: Resource | undefined;

  constructor(kind: Kind, name: string, expected: number, present: Resource | undefined) {
    const found = present?.metadata.resourceVersion ?? 0;
    super(`${kind} ${name} is at resourceVersion ${found}, not at ${expected}`);
    this.present = present;
  }
}

/** The table does not answer; nothing was written. */
export class ConfigurationUnavailableError extends SnipehavenError {
  readonly code = 'configuration_unavailable';
}

/** The table took the write and then did not answer; repeat it with the same client request id. */
export class ConfigurationOutcomeUnknownError extends SnipehavenError {
  readonly code = 'configuration_outcome_unknown';
}

export class ConfigurationNotFoundError extends SnipehavenError {
  readonly code = 'configuration_not_found';
}

/** A row, a message or a snapshot does not have the form that this program knows. */
export class ConfigurationCorruptError extends SnipehavenError {
  readonly code = 'configuration_corrupt';
}

/** A mark was set again while it was being lifted; the mark stays. */
export class SafeMoveRacedError extends SnipehavenError {
  readonly code = 'safe_move_raced';
}
