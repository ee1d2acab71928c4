/** Runs the operators' command line as a process, as an operator would. */
import { spawn } from 'node:child_process';
import { createRequire } from 'node:module';
import { demoSecrets } from './daemonSettings.js';

const require = createRequire(import.meta.url);
const script = require.resolve('@snipehaven/cli').replace(/index\.js$/, 'snipectl.js');

export interface SnipectlResult {
  readonly code: number;
  readonly output: string;
}

/** Runs one command against the daemons; resolves when it ends. */
export const runSnipectl = (
  operatorUrls: readonly string[],
  args: readonly string[],
): Promise<SnipectlResult> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {
        ...process.env,
        SNIPECTL_URL: operatorUrls.join(','),
        SNIPECTL_TOKEN: demoSecrets.operatorToken,
      },
    });
    let output = '';
    const take = (chunk: Buffer): void => {
      output += chunk.toString('utf8');
    };
    child.stdout.on('data', take);
    child.stderr.on('data', take);
    child.once('close', (code) => resolve({ code: code ?? 1, output }));
  });
