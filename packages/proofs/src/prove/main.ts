/** `npm run prove -- [--seed N] [--markdown]`: each promise without its mechanism, and as shipped. */
import { parseArgs } from 'node:util';
import { proofs, runProof } from './proofs.js';
import type { ProofResult } from './types.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    markdown: { type: 'boolean', default: false },
  },
});

const MAX_EXAMPLE = 120;

const shorten = (violations: readonly string[]): string =>
  (violations[0] ?? 'held').slice(0, MAX_EXAMPLE).replaceAll('|', '/');

const toRow = ({ proof, without, shipped }: ProofResult): string =>
  `| ${proof.promise} | ${proof.mechanism} | ${proof.faults} | ${shorten(without)} | ` +
  `${shorten(shipped)} | \`${proof.file}\` |`;

const toLine = ({ proof, without, shipped, isProved }: ProofResult): string =>
  `${isProved ? 'proved    ' : 'NOT PROVED'} ${proof.promise}\n` +
  `             without: ${shorten(without)}\n             shipped: ${shorten(shipped)}`;

const results: ProofResult[] = [];
for (const proof of proofs) {
  const result = await runProof(proof, Number(values.seed));
  results.push(result);
  console.log(values.markdown ? toRow(result) : toLine(result));
}
const proved = results.filter((result) => result.isProved).length;
console.log(JSON.stringify({ promises: results.length, proved }));
process.exit(proved === results.length ? 0 : 1);
