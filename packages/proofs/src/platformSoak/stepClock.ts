/** Loaded by a daemon's start file before the daemon: each SIGUSR2 steps its time of day, and back. */

const STEPS_MS = [2_000, 0, -2_000, 0];

let steps = 0;
let offsetMs = 0;
const readTimeOfDay = Date.now;

Date.now = () => readTimeOfDay() + offsetMs;

process.on('SIGUSR2', () => {
  offsetMs = STEPS_MS[steps % STEPS_MS.length] ?? 0;
  steps += 1;
});
