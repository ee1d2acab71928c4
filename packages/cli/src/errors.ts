/** Errors of snipectl, each with the exit code that it ends with. */
import { SnipehavenError } from '@snipehaven/common';
import { exitCodes, type ExitCode } from './exitCodes.js';

/** A fault that ends the command. */
export abstract class SnipectlError extends SnipehavenError {
  abstract readonly exitCode: ExitCode;
}

/** A file, a manifest or an argument is invalid. */
export class InvalidInputError extends SnipectlError {
  readonly code = 'invalid_input';

  readonly exitCode = exitCodes.invalid;
}

/** No daemon of the context answered. */
export class UnreachableError extends SnipectlError {
  readonly code = 'unreachable';

  readonly exitCode = exitCodes.unavailable;
}

/** What `--wait` waits for did not come in time. */
export class WaitTimeoutError extends SnipectlError {
  readonly code = 'wait_timeout';

  readonly exitCode = exitCodes.waitTimeout;
}

const exitCodesByStatus: Readonly<Record<number, ExitCode>> = {
  400: exitCodes.invalid,
  401: exitCodes.notPermitted,
  403: exitCodes.notPermitted,
  404: exitCodes.notFound,
  409: exitCodes.conflict,
  413: exitCodes.invalid,
  421: exitCodes.unavailable,
  422: exitCodes.invalid,
  429: exitCodes.unavailable,
  502: exitCodes.unavailable,
  503: exitCodes.unavailable,
};

/** A field in which the present resource differs from the one sent. */
export interface Difference {
  readonly path: string;
  readonly present?: unknown;
  readonly sent?: unknown;
}

/** What an error answer of the API tells. */
export interface ApiErrorBody {
  readonly code: string;
  readonly message: string;
  readonly issues?: readonly { readonly path: string; readonly rule: string }[] | undefined;
  readonly differences?: readonly Difference[] | undefined;
}

/** A daemon answered with an error. */
export class ApiCallError extends SnipectlError {
  readonly code: string;

  readonly status: number;

  readonly exitCode: ExitCode;

  readonly body: ApiErrorBody;

  constructor(status: number, body: ApiErrorBody) {
    super(body.message);
    this.status = status;
    this.body = body;
    this.code = body.code;
    this.exitCode = exitCodesByStatus[status] ?? exitCodes.usage;
  }
}
