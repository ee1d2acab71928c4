/** Exit codes of snipectl; docs/OPERATORS.md lists them. */

export const exitCodes = {
  /** Done. */
  ok: 0,
  /** Wrong usage, or a fault of snipectl itself. */
  usage: 1,
  /** A file, a manifest or an argument is invalid. */
  invalid: 2,
  /** Another operator was first. */
  conflict: 3,
  /** There is no such thing. */
  notFound: 4,
  /** No daemon answered, or the platform is away. */
  unavailable: 5,
  /** The token is missing, wrong, or may only read. */
  notPermitted: 6,
  /** What `--wait` waits for did not come in time. */
  waitTimeout: 7,
  /** `diff` found differences. */
  different: 8,
  /** The operator did not confirm. */
  declined: 9,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
