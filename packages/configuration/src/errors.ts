/** Errors of the configuration layer. */
import { SnipehavenError } from '@snipehaven/common';
import type { Kind, Resource } from '@snipehaven/resources';

/** A concurrent write was first: the resource is no longer at the version the operator read. */
export class ConfigurationConflictError extends SnipehavenError {
  readonly code = 'configuration_conflict';

  /** The stored resource; undefined if it does not exist. */
  readonly present: Resource | undefined;

  constructor(kind: Kind, name: string, expected: number, present: Resource | undefined) {
    const found = present?.metadata.resourceVersion ?? 0;
    super(`${kind} ${name} is at resourceVersion ${found}, expected ${expected}`);
    this.present = present;
  }
}

/** The table did not answer; nothing was written. */
export class ConfigurationUnavailableError extends SnipehavenError {
  readonly code = 'configuration_unavailable';
}

/**
 * The reply of the table was lost, so the write may have taken effect. Retry with the same client
 * request id.
 */
export class ConfigurationOutcomeUnknownError extends SnipehavenError {
  readonly code = 'configuration_outcome_unknown';
}

export class ConfigurationNotFoundError extends SnipehavenError {
  readonly code = 'configuration_not_found';
}

/** A row, message or snapshot does not match the expected schema. */
export class ConfigurationCorruptError extends SnipehavenError {
  readonly code = 'configuration_corrupt';
}

/** The safe move was activated again while it was being lifted; it remains active. */
export class SafeMoveRacedError extends SnipehavenError {
  readonly code = 'safe_move_raced';
}
