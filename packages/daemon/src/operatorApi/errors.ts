/** Errors of the operator API, each with its HTTP status. */
import { SnipehavenError } from '@snipehaven/common';
import type { ValidationIssue } from '@snipehaven/resources';

/** Why the operator API refuses a call; the code stands in the answer. */
export type OperatorErrorCode =
  | 'not_authenticated'
  | 'not_permitted'
  | 'not_found'
  | 'method_not_allowed'
  | 'bad_request'
  | 'body_too_large'
  | 'body_timeout'
  | 'unknown_kind'
  | 'conflict'
  | 'history_gone'
  | 'misdirected'
  | 'too_many_watches';

const statuses: Readonly<Record<OperatorErrorCode, number>> = {
  not_authenticated: 401,
  not_permitted: 403,
  not_found: 404,
  method_not_allowed: 405,
  bad_request: 400,
  body_too_large: 413,
  body_timeout: 408,
  unknown_kind: 404,
  conflict: 409,
  history_gone: 410,
  misdirected: 421,
  too_many_watches: 429,
};

/** Further fields of an error's answer. */
export interface OperatorErrorDetail {
  readonly issues?: readonly ValidationIssue[];
  readonly present?: unknown;
  readonly differences?: readonly unknown[];
  readonly revision?: number;
  readonly allow?: readonly string[];
}

/** A call that is refused with a status of its own. */
export class OperatorApiError extends SnipehavenError {
  readonly code: OperatorErrorCode;

  readonly status: number;

  readonly detail: OperatorErrorDetail;

  constructor(code: OperatorErrorCode, message: string, detail: OperatorErrorDetail = {}) {
    super(message);
    this.code = code;
    this.status = statuses[code];
    this.detail = detail;
  }
}
