/** Sizes, rates and names of the control bench. */

/** The size that the letter asks about. */
export const target = {
  daemons: 400,
  dataCentres: 7,
  engines: 1_100,
  requestsPerSecond: 2_300,
  changesPerDay: 1_300,
} as const;

export const SECONDS_PER_DAY = 86_400;
export const MS_PER_SECOND = 1_000;
export const BYTES_PER_MB = 1_048_576;

/** Changes a second during churn: 133 times the letter's 1,300 a day, so that 15 s show 30 of them. */
export const CHURN_PER_SECOND = 2;
/** Requests a second and daemon under the light load. */
export const LOAD_PER_DAEMON_PER_SECOND = 1;

/** After the last daemon is ready, until news of the start has been spread. */
export const SETTLE_MS = 12_000;
/** How long a change may take until it counts as not in force. */
export const IN_FORCE_TIMEOUT_MS = 10_000;

export const TEAM = 'bench';
export const TEAM_KEY = 'bench-key';
export const VERSION = 'scribe@1';
