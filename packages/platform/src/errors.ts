/** Errors of the platform's services. */
import { SnipehavenError } from '@snipehaven/common';

/** The platform answered that it did nothing, or could not be reached at all. */
export class PlatformRefusedError extends SnipehavenError {
  readonly code = 'platform_refused';

  /** How long to wait before the next try, where the platform said so. */
  readonly retryAfterMs: number | undefined;

  constructor(message: string, options?: ErrorOptions & { readonly retryAfterMs?: number }) {
    super(message, options);
    this.retryAfterMs = options?.retryAfterMs;
  }
}

/** The request went out and no answer came: a write may have taken effect. */
export class PlatformOutcomeUnknownError extends SnipehavenError {
  readonly code = 'platform_outcome_unknown';
}

/** Whether the error comes from the platform being away, slow or over its limits. */
export const isPlatformError = (
  error: unknown,
): error is PlatformRefusedError | PlatformOutcomeUnknownError =>
  error instanceof PlatformRefusedError || error instanceof PlatformOutcomeUnknownError;
