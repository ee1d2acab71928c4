/** What a failed HTTP call proves. */

/** The HTTP library gave up before it had a connection. */
const CONNECT_CODES: ReadonlySet<string> = new Set(['UND_ERR_CONNECT_TIMEOUT']);

/** System errors that say "not sent" only when they come from `connect`. */
const SYSTEM_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

interface SystemError {
  readonly code?: unknown;
  readonly syscall?: unknown;
}

/**
 * Whether no byte of the call can have gone out. An open connection reports "unreachable" too, after
 * bytes were sent over it; only a failed `connect` proves that nothing ran.
 */
export const isNotSent = (error: unknown): boolean => {
  const { code, syscall } = (error ?? {}) as SystemError;
  if (CONNECT_CODES.has(String(code))) {
    return true;
  }
  return SYSTEM_CODES.has(String(code)) && syscall === 'connect';
};

/** Whether the other machine answered that nobody listens there. */
export const isRefusedConnection = (error: unknown): boolean => {
  const { code, syscall } = (error ?? {}) as SystemError;
  return code === 'ECONNREFUSED' && syscall === 'connect';
};
