/**
 * Runs every compiled test file in a process of its own, some at a time, and closes with one line
 * of counts. Files named `*.alone.test.ts` run after the others, one at a time.
 * Usage: node tools/runTests.mjs [package ...] . With CI=true, a failing file does not
 * fail the run if KNOWN-RED.txt lists every failed test in it; the matching lines are printed. Line
 * format: `test file, "test name", command, what was seen, issue`.
 */
import { spawn } from 'node:child_process';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { join } from 'node:path';

const PER_FILE_TIMEOUT_MS = 240_000;
const parallel = Math.max(1, Math.floor(availableParallelism() / 3));

const listTests = (folder) =>
  existsSync(folder)
    ? readdirSync(folder, { recursive: true })
        .filter((file) => file.endsWith('.test.js'))
        .map((file) => join(folder, file))
    : [];

const wanted = process.argv.slice(2);
/** Folders with tests: all packages, and the platform's adapter at the root. A name may stand for both. */
const allFolders = [...readdirSync('packages').map((name) => join('packages', name)), 'platform'];
const folders =
  wanted.length > 0
    ? allFolders.filter((folder) =>
        wanted.some((name) => folder === name || folder === join('packages', name)),
      )
    : allFolders;
const files = folders.flatMap((folder) => listTests(join(folder, 'dist'))).sort();
const knownRed = existsSync('KNOWN-RED.txt')
  ? readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(Boolean)
  : [];

const readCount = (output, label) =>
  Number(output.match(new RegExp(`${label}:\\s+(\\d+)`))?.[1] ?? 0);

const runFile = (file) =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, ['--enable-source-maps', file], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, FORCE_COLOR: '0' },
    });
    let output = '';
    const take = (chunk) => {
      output += chunk;
    };
    child.stdout.on('data', take);
    child.stderr.on('data', take);
    const startedAtMs = Date.now();
    const timer = setTimeout(() => child.kill('SIGKILL'), PER_FILE_TIMEOUT_MS);
    child.on('close', (code, signal) => {
      clearTimeout(timer);
      const total = readCount(output, 'Total');
      const passed = readCount(output, 'Passed');
      const failed = Math.max(total - passed, code === 0 ? 0 : 1);
      resolve({
        file,
        passed,
        failed,
        output: signal ? `${output}\nended by ${signal}` : output,
        tookMs: Date.now() - startedAtMs,
      });
    });
  });

const results = [];
const isAlone = (file) => file.endsWith('.alone.test.js');
const runQueue = async (queue) => {
  for (let file = queue.shift(); file; file = queue.shift()) {
    const result = await runFile(file);
    results.push(result);
    const tookS = (result.tookMs / 1000).toFixed(1);
    console.log(`${result.failed === 0 ? 'ok  ' : 'FAIL'} ${file} (${result.passed}, ${tookS} s)`);
    if (result.failed > 0) console.log(result.output);
  }
};
const shared = files.filter((file) => !isAlone(file));
await Promise.all(Array.from({ length: parallel }, () => runQueue(shared)));
await runQueue(files.filter(isAlone));

/** Parses the failed test names from the output of `uvu`. */
const listFailedTests = (output) =>
  [...output.matchAll(/^\s+FAIL\s.*?"(.*)"$/gm)].map(([, name]) => name);

/** Returns one line of KNOWN-RED.txt per failed test, or undefined for a test that is not listed. */
const findKnownRedLines = ({ file, output }) => {
  const source = file.replace('/dist/', '/src/').replace('.js', '.ts');
  const lines = knownRed.filter((line) => line.startsWith(`${source}, `));
  return listFailedTests(output).map((name) => lines.find((line) => line.includes(`"${name}"`)));
};

/** A file that fails without naming a failed test, as on a crash at load, is not excused. */
const isExcused = (result) => {
  const lines = findKnownRedLines(result);
  const hasSummary = /^\s+Total:\s/m.test(result.output);
  return hasSummary && lines.length === result.failed && lines.every(Boolean);
};

const red = results.filter((result) => result.failed > 0);
const excused = process.env.CI === 'true' ? red.filter(isExcused) : [];
new Set(excused.flatMap(findKnownRedLines)).forEach((line) => console.log(`known red: ${line}`));
/** At the end, because a long log is often kept without its middle. */
red
  .filter((result) => !excused.includes(result))
  .forEach((result) => console.log(`not excused: ${result.file}\n${result.output}`));
const passed = results.reduce((sum, result) => sum + result.passed, 0);
const failed = red.reduce((sum, result) => sum + result.failed, 0);
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = red.length > excused.length || passed === 0 ? 1 : 0;
