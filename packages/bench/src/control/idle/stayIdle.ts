/** Says that the process is up and keeps it so, doing nothing. */
const IDLE_MS = 600_000;

export const stayIdle = (): void => {
  console.log('idle');
  setTimeout(() => undefined, IDLE_MS);
};
