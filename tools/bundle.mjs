/**
 * Bundles the platform's daemon under target/, or the folder given as argument. After a loss of power all
 * daemons start at once, and until they do nobody is served. So the daemon is one file with its compiled code
 * beside it, without its commands and without parts of libraries that are never called.
 */
import { copyFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { join, resolve } from 'node:path';
import { build } from 'esbuild';

const folder = resolve(process.argv[2] ?? 'target');
const codeFile = join(folder, 'daemon.code');

/** The workspace's own packages from their sources, so that nothing is written beside target/. */
const ownPackages = Object.fromEntries(
  readdirSync('packages').map((name) => [
    `@snipehaven/${name}`,
    resolve('packages', name, 'src/index.ts'),
  ]),
);

/** Of these libraries the daemon uses a class or a few; loading the rest takes longer than its own code. */
const usedParts = {
  undici: resolve('tools/undiciClient.cjs'),
  'prom-client': resolve('tools/metricsParts.cjs'),
  'node:http2': resolve('tools/noHttp2.cjs'),
  'node:assert': resolve('tools/assert.cjs'),
  assert: resolve('tools/assert.cjs'),
  'hdr-histogram-js': resolve('node_modules/hdr-histogram-js/dist/HistogramBuilder.js'),
};

/**
 * The runtime tells code of another source by its length alone: a daemon whose constant was changed from 60
 * to 75 ran with 60. So no code of an earlier build may be left.
 */
rmSync(codeFile, { force: true });

await build({
  entryPoints: {
    daemon: 'platform/src/main.ts',
    listenEarly: 'platform/src/listenEarly.ts',
    commands: 'platform/src/commands.ts',
  },
  outdir: folder,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  minify: true,
  keepNames: true,
  sourcemap: false,
  alias: { ...ownPackages, ...usedParts },
  logLevel: 'warning',
});
const startFile = join(folder, 'snipehavend.cjs');
copyFileSync('tools/startDaemon.cjs', startFile);

/** Compiled by this very runtime, while the daemon looks for settings in vain: most of what a start needs. */
const { createScript, run } = createRequire(import.meta.url)(startFile);
const script = createScript();
delete process.env.SNIPEHAVEN_SETTINGS;
process.stderr.write = () => true;
run(script);
process.once('beforeExit', () => {
  process.exitCode = 0;
  writeFileSync(codeFile, script.createCachedData());
});
