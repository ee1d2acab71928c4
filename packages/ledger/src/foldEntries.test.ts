import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { UsageEntry } from '@snipehaven/protocol';
import { sumBilling } from './billing.js';
import { foldEntries, getEntryText } from './foldEntries.js';
import { createSettlement } from './testKit.js';

const SEED = 4_011;

const entryArbitrary: fc.Arbitrary<UsageEntry> = fc
  .record({
    requestId: fc.constantFrom('r1', 'r2', 'r3'),
    requestKey: fc.constantFrom('k1', 'k2'),
    teamUid: fc.constantFrom('u1', 'u2'),
    settledAtMs: fc.integer({ min: 1, max: 3 }),
    outcome: fc.constantFrom('answered' as const, 'partial' as const, 'unanswered' as const),
    tokens: fc.integer({ min: 1, max: 2 }),
    lineCount: fc.integer({ min: 0, max: 2 }),
    settledBy: fc.constantFrom('a', 'b'),
    isAdopted: fc.boolean(),
  })
  .map(({ tokens, lineCount, ...fields }) => {
    const [line] = createSettlement(fields.requestId, tokens).lines;
    const lines = Array.from({ length: lineCount }, () => line as UsageEntry['lines'][number]);
    const costMicroUsd = lines.reduce((sum, { costMicroUsd: cost }) => sum + cost, 0);
    return { ...fields, team: 'studio', openedAtMs: 0, lines, costMicroUsd };
  });

const entriesArbitrary = fc.array(entryArbitrary, { maxLength: 12 });

const fold = (...parts: readonly (readonly UsageEntry[])[]): readonly UsageEntry[] => [
  ...foldEntries(parts.flat()).values(),
];

const getTexts = (entries: readonly UsageEntry[]): readonly string[] =>
  entries.map(getEntryText).sort();

const check = (property: fc.IRawProperty<unknown>): void => {
  fc.assert(property, { seed: SEED, numRuns: 500 });
};

test('the fold is idempotent', () => {
  check(
    fc.property(entriesArbitrary, (a) => {
      assert.equal(getTexts(fold(fold(a))), getTexts(fold(a)));
      assert.equal(getTexts(fold(a, a)), getTexts(fold(a)));
    }),
  );
});

test('the fold is commutative', () => {
  check(
    fc.property(entriesArbitrary, entriesArbitrary, (a, b) => {
      assert.equal(getTexts(fold(a, b)), getTexts(fold(b, a)));
      assert.equal(getTexts(fold([...a].reverse())), getTexts(fold(a)));
    }),
  );
});

test('the fold is associative', () => {
  check(
    fc.property(entriesArbitrary, entriesArbitrary, entriesArbitrary, (a, b, c) => {
      assert.equal(getTexts(fold(fold(a, b), c)), getTexts(fold(a, fold(b, c))));
    }),
  );
});

test('an answered entry is never beaten, and each key has one winner', () => {
  check(
    fc.property(entriesArbitrary, (entries) => {
      const winners = foldEntries(entries);
      entries.forEach((entry) => {
        const winner = winners.get(`${entry.teamUid}\u0000${entry.requestKey}`);
        assert.ok(winner && (entry.outcome !== 'answered' || winner.outcome === 'answered'));
      });
    }),
  );
});

test('bills add up to the costs of the folded entries', () => {
  check(
    fc.property(entriesArbitrary, (entries) => {
      const folded = fold(entries);
      const billed = sumBilling(folded).reduce((sum, row) => sum + row.costMicroUsd, 0);
      assert.is(
        billed,
        folded.reduce((sum, entry) => sum + entry.costMicroUsd, 0),
      );
    }),
  );
});

test.run();
