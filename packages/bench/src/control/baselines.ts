/** Memory of processes without control: bare Node, and the daemon's libraries loaded and idle. */
import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { ManagedProcess } from '@snipehaven/demo';
import { wait } from './wait.js';

export interface Baselines {
  readonly bareNodeMb: number;
  readonly librariesMb: number;
}

const SETTLE_MS = 2_000;
const STOP_GRACE_MS = 1_000;
const KB_PER_MB = 1_024;

const readResidentMb = (pid: number): number => {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
};

const measureScript = async (script: string, folder: string): Promise<number> => {
  const idle = new ManagedProcess({
    name: script,
    script: join(dirname(fileURLToPath(import.meta.url)), 'idle', script),
    args: [],
    logFile: join(folder, `${script}.log`),
  });
  await idle.firstLine;
  await wait(SETTLE_MS);
  const residentMb = readResidentMb(idle.pid);
  await idle.stop(STOP_GRACE_MS);
  return residentMb;
};

export const measureBaselines = async (folder: string): Promise<Baselines> => ({
  bareNodeMb: await measureScript('bareNode.js', folder),
  librariesMb: await measureScript('libraries.js', folder),
});
