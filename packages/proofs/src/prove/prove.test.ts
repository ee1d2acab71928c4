/** Each promise's proof fails without its mechanism and holds as shipped. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { proofs, runProof } from './proofs.js';

const SEED = 1;

proofs.forEach((proof) => {
  test(proof.promise, async () => {
    const result = await runProof(proof, SEED);
    assert.ok(
      result.without.some((violation) => proof.expected.test(violation)),
      `without the mechanism: ${result.without.join('; ') || 'held'}`,
    );
    assert.equal(result.shipped, []);
  });
});

test.run();
