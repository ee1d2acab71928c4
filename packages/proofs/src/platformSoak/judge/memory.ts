/** The memory that the daemons' processes have had, by Linux's `/proc`. */
import { readFile } from 'node:fs/promises';
import { MEMORY_LIMIT_BYTES } from '../constants.js';
import type { VmState } from '../types.js';

const BYTES_PER_KB = 1_024;

const readPeakBytes = async ({ process }: VmState): Promise<number> => {
  const status = await readFile(`/proc/${process?.pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) * BYTES_PER_KB;
};

/** The VMs whose present process has had more memory than its VM has, a line each. */
export const listOverMemory = async (vms: readonly VmState[]): Promise<readonly string[]> => {
  const peaks = await Promise.all(
    vms.map(async (vm) => ({ vm, bytes: await readPeakBytes(vm).catch(() => 0) })),
  );
  return peaks
    .filter(({ bytes }) => bytes > MEMORY_LIMIT_BYTES)
    .map(({ vm, bytes }) => `${vm.name}: ${bytes} bytes`);
};
