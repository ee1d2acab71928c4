/** `node packages/proofs/dist/rollout/main.js --seed N --kind gross|good|slow`; code 1 where it fails. */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { candidateKinds, type CandidateKindName } from './kinds.js';
import { RolloutRun } from './rolloutRun.js';

const MS_PER_SECOND = 1_000;

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    kind: { type: 'string', default: 'gross' },
    folder: { type: 'string' },
  },
});

const isKind = (kind: string): kind is CandidateKindName => kind in candidateKinds;
if (!isKind(values.kind)) {
  throw new Error(`--kind is one of ${Object.keys(candidateKinds).join(', ')}`);
}

const startedAtMs = Date.now();
const say = (line: string): void =>
  console.log(`${((Date.now() - startedAtMs) / MS_PER_SECOND).toFixed(1).padStart(6)}  ${line}`);

const proof = new RolloutRun({
  seed: Number(values.seed),
  kind: values.kind,
  folder: values.folder ?? mkdtempSync(join(tmpdir(), 'snipehaven-rollout-')),
  say,
});
try {
  await proof.start();
  const figures = await proof.run();
  await proof.stop();
  console.log(JSON.stringify(figures));
  process.exitCode = figures.hasHeld ? 0 : 1;
} finally {
  await proof.stop();
}
