/** Limits of a team that a bench must not run into. */
export const UNLIMITED = {
  requestsPerSecond: 1_000_000,
  burst: 1_000_000,
  concurrency: 100_000,
  spendMicroUsdPerDay: 1_000_000_000_000,
} as const;
