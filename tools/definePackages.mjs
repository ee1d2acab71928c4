/**
 * Writes package.json, tsconfig.json for each workspace package from one table, so that
 * dependencies between packages stand in one place and point one way.
 */
import { mkdirSync, writeFileSync, existsSync } from 'node:fs';
import { relative } from 'node:path';
import { format } from 'prettier';

const versions = {
  nact: '^7.6.2',
  '@trpc/server': '^11.0.0',
  '@trpc/client': '^11.0.0',
  zod: '^4.0.0',
  'smol-toml': '^1.4.0',
  'hdr-histogram-js': '^3.0.0',
  'pure-rand': '^8.0.0',
  'eventsource-parser': '^3.0.0',
  murmurhash: '^2.0.1',
  pino: '^10.0.0',
  'prom-client': '^15.1.0',
  undici: '^7.0.0',
  clipanion: '^3.2.1',
  '@msgpack/msgpack': '^3.0.0',
  'fast-check': '^4.0.0',
  '@sinonjs/fake-timers': '^15.0.0',
  openai: '^6.0.0',
};

/** Private packages that only the tests of a package use. */
const testPackages = { daemon: ['standins'], 'platform-adapter': ['standins'] };

/** name: [own packages it depends on, libraries, binary name] */
const packages = {
  common: [[], ['pino', 'murmurhash', 'pure-rand', 'nact', 'hdr-histogram-js']],
  resources: [['common'], ['zod']],
  policy: [['common', 'resources'], ['pure-rand']],
  platform: [['common'], ['undici', 'zod']],
  upstream: [['common'], ['undici', 'zod', 'eventsource-parser']],
  timeline: [['common'], []],
  protocol: [
    ['common', 'resources', 'timeline'],
    ['@trpc/server', '@trpc/client', 'zod', 'undici', '@msgpack/msgpack'],
  ],
  membership: [['common', 'protocol', 'platform', 'timeline'], ['nact']],
  configuration: [
    ['common', 'resources', 'protocol', 'platform', 'membership', 'timeline'],
    ['nact', 'zod'],
  ],
  claims: [
    ['common', 'platform', 'timeline'],
    ['nact', 'zod'],
  ],
  ledger: [
    ['common', 'platform', 'upstream', 'protocol', 'membership', 'timeline'],
    ['nact', 'zod'],
  ],
  sessions: [['common', 'platform', 'protocol', 'membership', 'timeline'], ['zod']],
  rollouts: [
    [
      'common',
      'resources',
      'policy',
      'platform',
      'protocol',
      'membership',
      'configuration',
      'timeline',
    ],
    ['nact', 'zod'],
  ],
  routing: [
    [
      'common',
      'resources',
      'policy',
      'platform',
      'upstream',
      'timeline',
      'protocol',
      'membership',
      'configuration',
      'claims',
      'ledger',
      'sessions',
      'rollouts',
    ],
    ['hdr-histogram-js', 'zod'],
  ],
  forwarding: [
    ['common', 'policy'],
    ['undici', 'prom-client', 'hdr-histogram-js'],
  ],
  daemon: [
    [
      'common',
      'resources',
      'policy',
      'platform',
      'upstream',
      'timeline',
      'protocol',
      'membership',
      'configuration',
      'claims',
      'ledger',
      'sessions',
      'rollouts',
      'routing',
    ],
    [
      'smol-toml',
      'zod',
      'pino',
      'prom-client',
      'hdr-histogram-js',
      '@trpc/server',
      'clipanion',
      'nact',
    ],
    'snipehavend',
  ],
  cli: [
    ['common', 'resources', 'timeline', 'daemon'],
    ['clipanion', 'undici', 'smol-toml', 'zod'],
    'snipectl',
  ],
  standins: [['common'], ['undici', 'zod', 'pure-rand']],
  demo: [
    ['common', 'resources', 'standins', 'daemon', 'cli'],
    ['openai', 'undici', 'hdr-histogram-js', 'pure-rand'],
  ],
  bench: [
    ['common', 'resources', 'policy', 'standins', 'daemon', 'protocol', 'demo'],
    ['undici', 'hdr-histogram-js', 'pure-rand'],
  ],
  proofs: [
    [
      'common',
      'resources',
      'policy',
      'platform',
      'upstream',
      'timeline',
      'protocol',
      'membership',
      'configuration',
      'claims',
      'ledger',
      'sessions',
      'routing',
      'daemon',
      'standins',
      'demo',
      'platform-adapter',
    ],
    ['fast-check', '@sinonjs/fake-timers', 'pure-rand', 'undici'],
  ],
};
/** Packages outside `packages/`: name: [folder, ...as above]. */
const rootPackages = {
  'platform-adapter': [
    'platform',
    ['common', 'forwarding'],
    ['clipanion', 'smol-toml', 'undici', 'zod'],
  ],
};
const privatePackages = new Set(['standins', 'demo', 'bench', 'proofs']);

const toJson = (value, parser = 'json') =>
  format(JSON.stringify(value), { parser, printWidth: 100 });

const toOwnDependencies = (names) =>
  Object.fromEntries(names.map((other) => [`@snipehaven/${other}`, '0.1.0']));

const allPackages = [
  ...Object.entries(packages).map(([name, spec]) => [name, `packages/${name}`, ...spec]),
  ...Object.entries(rootPackages).map(([name, spec]) => [name, ...spec]),
];

const folderOf = new Map(allPackages.map(([name, folder]) => [name, folder]));

for (const [name, folder, own, libraries, bin] of allPackages) {
  const base = relative(folder, '.');
  mkdirSync(`${folder}/src`, { recursive: true });
  const forTests = testPackages[name] ?? [];
  const dependencies = toOwnDependencies(own);
  libraries.forEach((library) => {
    dependencies[library] = versions[library];
  });
  const manifest = {
    name: `@snipehaven/${name}`,
    version: '0.1.0',
    license: 'Apache-2.0',
    type: 'module',
    sideEffects: false,
    engines: { node: '>=20.20' },
    ...(privatePackages.has(name) ? { private: true } : {}),
    main: 'dist/index.js',
    types: 'dist/index.d.ts',
    ...(bin ? { bin: { [bin]: `dist/${bin}.js` } } : {}),
    dependencies,
    ...(forTests.length > 0 ? { devDependencies: toOwnDependencies(forTests) } : {}),
  };
  writeFileSync(`${folder}/package.json`, await toJson(manifest, 'json-stringify'));
  writeFileSync(
    `${folder}/tsconfig.json`,
    await toJson({
      extends: `${base}/tsconfig.base.json`,
      compilerOptions: { rootDir: 'src', outDir: 'dist', tsBuildInfoFile: 'dist/.tsbuildinfo' },
      include: ['src'],
      references: [...own, ...forTests].map((other) => ({
        path: relative(folder, folderOf.get(other)),
      })),
    }),
  );
  if (!existsSync(`${folder}/src/index.ts`)) {
    writeFileSync(`${folder}/src/index.ts`, 'export {};\n');
  }
}

writeFileSync(
  'tsconfig.json',
  await toJson({
    files: [],
    references: allPackages.map(([, folder]) => ({ path: folder })),
  }),
);
