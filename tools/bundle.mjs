/**
 * Bundles the platform's daemon into one file under target/. One file instead of some hundred modules:
 * after a loss of power all daemons start at once, and reading modules is most of a start.
 */
import { readdirSync } from 'node:fs';
import { resolve } from 'node:path';
import { build } from 'esbuild';

/** The workspace's own packages from their sources, so that nothing is written beside target/. */
const alias = Object.fromEntries(
  readdirSync('packages').map((name) => [
    `@snipehaven/${name}`,
    resolve('packages', name, 'src/index.ts'),
  ]),
);

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/snipehavend.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minify: true,
  keepNames: true,
  sourcemap: false,
  alias,
  // Libraries in CommonJS call `require`, which modules lack.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
