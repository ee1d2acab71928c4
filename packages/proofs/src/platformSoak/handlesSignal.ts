/** Whether a process handles a signal, from the kernel. */
import { readFileSync } from 'node:fs';
import { constants } from 'node:os';

const readHandledMask = (pid: number): bigint => {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const [, digits = '0'] = /^SigCgt:\s*([\da-f]+)$/m.exec(status) ?? [];
    return BigInt(`0x${digits}`);
  } catch {
    // The process has exited.
    return 0n;
  }
};

export const handlesSignal = (pid: number, signal: NodeJS.Signals): boolean => {
  const bit = BigInt(constants.signals[signal] - 1);
  return (readHandledMask(pid) / 2n ** bit) % 2n === 1n;
};
