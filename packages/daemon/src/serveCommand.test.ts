import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import { startStandins, type Standins } from '@snipehaven/standins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createDaemonCli } from './serveCommand.js';
import { describeSettings } from './settings/index.js';
import { getTestTables, testSecrets, toToml } from './testSupport/startTestDaemon.js';

interface Result {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

const test = suite('serveCommand');
let folder: string;
let standins: Standins;

const run = async (...args: readonly string[]): Promise<Result> => {
  const [stdout, stderr] = [new PassThrough(), new PassThrough()];
  const code = await createDaemonCli().run([...args], { stdout, stderr });
  return { code, stdout: String(stdout.read() ?? ''), stderr: String(stderr.read() ?? '') };
};

const check = async (tables: Readonly<Record<string, string>>): Promise<Result> => {
  const file = join(folder, 'daemon.toml');
  await writeFile(file, toToml({ ...getTestTables(standins), ...tables }));
  return run('-c', file, '--check-config');
};

test.before(async () => {
  folder = await mkdtemp(join(tmpdir(), 'snipehaven-'));
  standins = await startStandins();
  Object.assign(process.env, testSecrets);
});

test.after(async () => {
  Object.keys(testSecrets).forEach((name) => delete process.env[name]);
  await standins.stop();
  await rm(folder, { recursive: true });
});

test('checks settings without serving, and tells all faults by exit code 2', async () => {
  const whole = await check({});
  assert.equal([whole.code, whole.stderr], [0, '']);
  assert.match(whole.stdout, /daemon.toml: ok/);
  const wrong = await check({ vm: 'name = 5\ncolour = "red"' });
  assert.equal([wrong.code, wrong.stdout], [2, '']);
  assert.match(wrong.stderr, 'daemon.toml: vm.name: ');
  assert.match(wrong.stderr, 'daemon.toml: vm.colour: unknown field');
  const unset = await check({ peers: 'secret = { env = "UNSET" }' });
  assert.is(unset.code, 2);
  assert.match(unset.stderr, 'peers.secret: variable UNSET is empty or missing');
  const missing = await run('-c', join(folder, 'none.toml'), '--check-config');
  assert.is(missing.code, 2);
  assert.match(missing.stderr, 'cannot be read');
  assert.is((await run('--check-config')).code, 2);
});

test('prints the reference page without a settings file', async () => {
  const page = await run('--describe-settings');
  assert.equal([page.code, page.stdout], [0, describeSettings()]);
});

test.run();
