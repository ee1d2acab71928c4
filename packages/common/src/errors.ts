/**
 * The base of all error classes. Each layer derives its own errors and turns those
 * of the layer below into them, keeping the cause.
 */
export abstract class SnipehavenError extends Error {
  /** Stable machine-readable name of the fault, in snake case. */
  abstract readonly code: string;

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** A promise of the system does not hold. Thrown only where invariants are fatal (tests). */
export class InvariantViolation extends SnipehavenError {
  readonly code = 'invariant_violation';
}

/** The text of an unknown thrown value, for logs and wrapped errors. */
export const getErrorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
