import { once } from 'node:events';
import { spawn } from 'node:child_process';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { handlesSignal } from './handlesSignal.js';

// Guards against a soak that signals processes before, or long after, their handler is installed.
test('a signal counts as handled once the process has a handler for it', async () => {
  const script =
    "process.on('SIGUSR2', () => {}); console.log('ready'); setInterval(() => {}, 60000)";
  const child = spawn(process.execPath, ['-e', script]);
  const pid = child.pid ?? 0;
  await once(child.stdout, 'data');
  assert.ok(handlesSignal(pid, 'SIGUSR2'));
  assert.not(handlesSignal(pid, 'SIGHUP'));
  child.kill('SIGKILL');
  await once(child, 'exit');
  assert.not(handlesSignal(pid, 'SIGUSR2'));
});

test.run();
