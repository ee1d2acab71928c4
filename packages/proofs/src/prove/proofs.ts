/** The table of proofs, in the brief's order of promises. */
import { atMostOnceProof } from './sabotage/claims.js';
import { configurationProof } from './sabotage/configuration.js';
import {
  leavingProof,
  notRunProof,
  silentConnectionProof,
  wholeAnswerProof,
} from './sabotage/engines.js';
import { billedOnceProof } from './sabotage/ledger.js';
import { sessionProof } from './sabotage/sessions.js';
import { shutdownProof } from './sabotage/shutdown.js';
import { permissionProof, withdrawalProof } from './sabotage/versions.js';
import { runSteps } from '../fuzz/fuzz.js';
import type { Proof, ProofResult } from './types.js';

export const proofs: readonly Proof[] = [
  permissionProof,
  withdrawalProof,
  sessionProof,
  billedOnceProof,
  wholeAnswerProof,
  notRunProof,
  atMostOnceProof,
  leavingProof,
  shutdownProof,
  configurationProof,
  silentConnectionProof,
];

/** Runs a proof without its mechanism and as shipped. */
export const runProof = async (proof: Proof, seed: number): Promise<ProofResult> => {
  const without = (await runSteps(seed, proof.steps, proof.sabotage)).violations;
  const shipped = (await runSteps(seed, proof.steps)).violations;
  const hasFailedFirst = without.some((violation) => proof.expected.test(violation));
  return { proof, without, shipped, isProved: hasFailedFirst && shipped.length === 0 };
};
