/** The daemon as a process, and the signals that it gets. */
import { execFile, spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, open, rename, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { startStandins, type Standins } from '@snipehaven/standins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { getTestTables, testSecrets, toToml, waitUntil } from './testSupport/startTestDaemon.js';

const PROGRAM = fileURLToPath(new URL('snipehavend.js', import.meta.url));

const test = suite('runDaemon');
let folder: string;
let standins: Standins;

test.before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'snipehaven-run-'));
  standins = await startStandins();
});

test.after(async () => {
  await standins.stop();
  await rm(folder, { recursive: true });
});

const hasEnded = ({ exitCode, signalCode }: ChildProcess): boolean =>
  exitCode !== null || signalCode !== null;

const startProcess = async (tables: Readonly<Record<string, string>> = {}) => {
  const file = join(folder, 'daemon.toml');
  await writeFile(file, toToml({ ...getTestTables(standins), ...tables }));
  const daemon = spawn(process.execPath, [PROGRAM, '-c', file], {
    env: { ...process.env, ...testSecrets },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const chunks: string[] = [];
  daemon.stdout.on('data', (chunk) => chunks.push(String(chunk)));
  const getLog = () => chunks.join('');
  const waitForLine = (text: string) =>
    waitUntil(text, () => getLog().includes(text) || hasEnded(daemon));
  const stop = async () => {
    daemon.kill('SIGTERM');
    await waitUntil('the daemon ends', () => hasEnded(daemon));
  };
  return { daemon, getLog, waitForLine, stop };
};

const replaceByFifo = async (file: string): Promise<void> => {
  await promisify(execFile)('mkfifo', [`${file}.new`]);
  await rename(`${file}.new`, file);
};

// Guards against SIGHUP, which other daemons take as a reload, ending the process with its requests.
test('SIGHUP is logged and does not end the daemon', async () => {
  const { daemon, getLog, waitForLine, stop } = await startProcess();
  try {
    await waitForLine('"listening"');
    daemon.kill('SIGHUP');
    await waitForLine('SIGHUP has no effect');
    assert.is(daemon.signalCode, null);
    await stop();
    assert.equal([daemon.exitCode, daemon.signalCode], [0, null]);
    assert.match(getLog(), '"stopped"');
  } finally {
    daemon.kill('SIGKILL');
  }
});

// Guards against a signal that ends the process while it starts, when callers are already connected.
['SIGTERM', 'SIGINT'].forEach((signal) =>
  test(`${signal} during the start lets the daemon stop in order`, async () => {
    const file = join(folder, 'secret');
    const secret = testSecrets.SNIPEHAVEN_PEER_SECRET;
    await replaceByFifo(file);
    const { daemon, getLog } = await startProcess({ peers: `secret = { file = "${file}" }` });
    try {
      const check = await open(file, 'w');
      // The daemon reads the secret again once it listens.
      await replaceByFifo(file);
      await check.write(secret);
      await check.close();
      const start = await open(file, 'w');
      await start.write(secret);
      await writeFile(`${file}.new`, secret);
      await rename(`${file}.new`, file);
      daemon.kill(signal as NodeJS.Signals);
      await start.close();
      if (!hasEnded(daemon)) {
        await once(daemon, 'exit');
      }
      assert.equal([daemon.exitCode, daemon.signalCode], [0, null]);
      assert.match(getLog(), '"stopped"');
    } finally {
      daemon.kill('SIGKILL');
    }
  }),
);

test.run();
