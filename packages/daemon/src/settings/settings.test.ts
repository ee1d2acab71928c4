import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { startStandins, type Standins } from '@snipehaven/standins';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { getTestTables, testSecrets, toToml } from '../testSupport/startTestDaemon.js';
import { checkSettings } from './checkSettings.js';
import { describeSettings } from './describeSettings.js';
import { SettingsError } from './errors.js';
import { restoreSettings } from './readSettings.js';

type Tables = Readonly<Record<string, string>>;

/** Tables that replace the whole ones, and a part of each line that must come of it. */
type Case = readonly [tables: Tables, ...lines: readonly string[]];

const FILE = 'daemon.toml';
const EXPECTED_URL = 'platform.tableUrl: ';
const place = 'address = "127.0.0.1"\nport = 0';

const getTlsFile = (name: string): string =>
  fileURLToPath(new URL(`../../src/testSupport/tls/${name}.pem`, import.meta.url));

const test = suite('settings');
let standins: Standins;
let whole: Tables;

const getFaults = (act: () => unknown): readonly string[] => {
  try {
    act();
    return [];
  } catch (error) {
    assert.instance(error, SettingsError);
    return (error as SettingsError).faults;
  }
};

const restore = (tables: Tables): ReturnType<typeof restoreSettings> =>
  restoreSettings(FILE, toToml({ ...whole, ...tables }));

/** Each expected line has its fault, and there are no further ones. */
const expectFaults = (faults: readonly string[], lines: readonly string[]): void => {
  assert.is(faults.length, lines.length, faults.join('\n'));
  lines.forEach((line, index) => assert.match(faults[index] ?? '', line));
};

test.before(async () => {
  standins = await startStandins();
  whole = getTestTables(standins);
});

test.after(async () => {
  await standins.stop();
});

const wrongFiles: readonly Case[] = [
  [{ vm: 'name = 5' }, 'vm.name: Invalid input: expected string', 'vm.dataCentre: '],
  [{ vm: 'name = "a"\ndataCentre = ""' }, 'vm.dataCentre: Too small: expected string to have >=1'],
  [{ vm: 'name = "a"\ndataCentre = "d"\ncolour = "red"' }, 'vm.colour: unknown field'],
  [{ colours: 'red = 1' }, 'colours: unknown field'],
  [{ 'listen.callers': 'address = "here"\nport = 0' }, 'listen.callers.address: Invalid IPv4'],
  [
    { 'listen.callers': 'address = "127.0.0.1"\nport = 70000' },
    'listen.callers.port: Too big: expected number',
  ],
  [{ 'listen.callers': `${place}\ntls = { certFile = "x" }` }, 'listen.callers.tls.keyFile: '],
  [
    { platform: 'tableUrl = "ftp://x"' },
    `${EXPECTED_URL}Invalid URL`,
    'platform.objectStoreUrl: ',
    'platform.vmListUrl: ',
    'platform.raterUrl: ',
    'platform.weightStoreUrl: ',
  ],
  [{ requests: 'maxBodyBytes = 0' }, 'requests.maxBodyBytes: Too small: expected number'],
  [{ requests: 'bodyTimeoutMs = "1s"' }, 'requests.bodyTimeoutMs: Invalid input: expected number'],
  [{ requests: 'bodyTimeoutMs = 1.5' }, 'requests.bodyTimeoutMs: Invalid input: expected int'],
  [{ log: 'level = "loud"' }, 'log.level: Invalid option: expected one of "fatal"'],
  [
    { operators: 'tokens = [{ name = "a", sha256 = "b", role = "read" }]' },
    'operators.tokens.0.sha256: must be 64',
  ],
  [{ peers: 'secret = { env = "A", file = "b" }' }, 'peers.secret: '],
  [
    { 'listen.peers': `${place}\ntls = { certFile = "a", keyFile = "b" }` },
    'peers.tls: expected together with listen.peers.tls',
  ],
];

test('names file, field and what was expected for each fault', () => {
  for (const [tables, ...lines] of wrongFiles) {
    const faults = getFaults(() => restore(tables));
    expectFaults(faults, lines);
    faults.forEach((fault) => assert.ok(fault.startsWith(`${FILE}: `), fault));
  }
  assert.equal(
    getFaults(() => restore({})),
    [],
  );
});

test('never repeats what stands in the file', () => {
  // Symptom: a secret shows up in the log of the machine that starts the daemon.
  // Sequence: somebody writes a secret into the settings file, in the wrong form or with a typing error.
  // Cause: the message quotes the value, or the line that it could not read.
  const written = 'written-by-mistake';
  const wrong: readonly Tables[] = [
    { peers: `secret = "${written}"` },
    { peers: `secret = { text = "${written}" }` },
    { sessions: `key = { env = "X" }\nkeyId = 5\npreviousKey = "${written}"` },
    { sessions: `key = "${written}` },
  ];
  for (const tables of wrong) {
    const faults = getFaults(() => restore(tables));
    assert.ok(faults.length > 0);
    assert.not.match(faults.join('\n'), written);
  }
});

const tls = (cert: string, key: string): string =>
  `${place}\ntls = { certFile = "${getTlsFile(cert)}", keyFile = "${getTlsFile(key)}" }`;

const wrongReferences: readonly Case[] = [
  [{ peers: 'secret = { env = "UNSET" }' }, 'peers.secret: variable UNSET is empty or missing'],
  [{ peers: 'secret = { file = "/none" }' }, 'peers.secret: cannot be read'],
  [
    { sessions: 'key = { env = "SHORT" }\npreviousKey = { env = "UNSET" }' },
    'sessions.key: expected at least 16 bytes, got 5',
    'sessions.previousKey: variable UNSET',
  ],
  [{ 'listen.callers': tls('none', 'test.key') }, 'listen.callers.tls.certFile: cannot be read'],
  [{ 'listen.callers': tls('test.key', 'test.key') }, 'listen.callers.tls.certFile: '],
  [{ 'listen.callers': tls('test.cert', 'test.cert') }, 'listen.callers.tls.keyFile: '],
  [
    { 'listen.operators': tls('test.cert', 'other.key') },
    'listen.operators.tls: expected a certificate and its key',
  ],
  [
    {
      'listen.peers': tls('test.cert', 'test.key'),
      peers: 'secret = { env = "SNIPEHAVEN_PEER_SECRET" }\ntls = { caFile = "/none" }',
    },
    'peers.tls.caFile: cannot be read',
  ],
];

test('finds secrets and files that are missing or do not fit', () => {
  const environment = { ...testSecrets, SHORT: 'short' };
  for (const [tables, ...lines] of wrongReferences) {
    expectFaults(
      getFaults(() => checkSettings(restore(tables), environment)),
      lines,
    );
  }
  assert.equal(
    getFaults(() => checkSettings(restore({}), environment)),
    [],
  );
});

test('keeps the committed reference page up to date', () => {
  const page = new URL('../../../../docs/SETTINGS.md', import.meta.url);
  const hint = 'run: node packages/daemon/dist/snipehavend.js --describe-settings';
  assert.is(readFileSync(page, 'utf8'), describeSettings(), hint);
});

test.run();
