/** Errors of the resource layer. */
import { SnipehavenError } from '@snipehaven/common';

/** One rule that a resource breaks. */
export interface ValidationIssue {
  /** Dotted path of the field, such as `spec.limits.concurrency`. */
  readonly path: string;
  readonly rule: string;
}

/** A resource from outside does not have the form of its kind. */
export class ResourceInvalidError extends SnipehavenError {
  readonly code = 'resource_invalid';

  readonly issues: readonly ValidationIssue[];

  constructor(subject: string, issues: readonly ValidationIssue[]) {
    const text = issues.map((issue) => `${issue.path}: ${issue.rule}`).join('; ');
    super(`${subject} is invalid: ${text}`);
    this.issues = issues;
  }
}
