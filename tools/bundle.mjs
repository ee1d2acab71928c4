/**
 * Bundles the platform's daemon under target/, or the folder given as argument. After a loss of power all
 * daemons start at once, and until they do nobody is served: a start took 0.25 s of a core, of which Node
 * itself 0.08 s; on a third of a core 0.75 s. One file, without parts of libraries that are never called, and
 * with its compiled code beside it: 0.13 s (user time of `snipehavend.cjs` without settings, five starts).
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

/** Of these libraries the daemon uses one class each; loading the rest took 0.04 s. */
const usedParts = {
  undici: resolve('tools/undiciClient.cjs'),
  'hdr-histogram-js': resolve('node_modules/hdr-histogram-js/dist/HistogramBuilder.js'),
};

/**
 * The runtime tells code of another source by its length alone: a daemon whose constant was changed from 60
 * to 75 ran with 60. So no code of an earlier build may be left.
 */
rmSync(codeFile, { force: true });

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: join(folder, 'daemon.cjs'),
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

/** Compiled by this very runtime, while the daemon prints its help: most of what a start needs. */
const { createScript, run } = createRequire(import.meta.url)(startFile);
const script = createScript();
process.argv = [process.argv[0], 'snipehavend', '--help'];
process.stdout.write = () => true;
run(script);
process.once('beforeExit', () => {
  writeFileSync(codeFile, script.createCachedData());
});
