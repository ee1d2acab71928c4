/** A state of the configuration that takes each change as it comes. */
import { createSilentLogger } from '@snipehaven/common';
import { ReplicaState, ReplicaView } from '@snipehaven/configuration';
import type { ResourceChange } from '@snipehaven/resources';
import type { Proof } from '../types.js';
import { step } from '../steps.js';

const KEPT_CHANGES = 1_000;

class StateWithoutOrder extends ReplicaState {
  #overruled: ReplicaView | undefined;

  override get view(): ReplicaView {
    return this.#overruled ?? super.view;
  }

  override applyChanges(changes: readonly ResourceChange[]): readonly ResourceChange[] {
    const applied = super.applyChanges(changes);
    const late = changes.filter((change) => change.revision < super.revision && change.resource);
    if (late.length > 0) {
      const others = super.view
        .listAll()
        .filter(({ kind, metadata }) =>
          late.every((change) => change.kind !== kind || change.name !== metadata.name),
        );
      const older = late.flatMap((change) => change.resource ?? []);
      this.#overruled = ReplicaView.create(super.revision, [...others, ...older]);
    }
    return applied;
  }
}

export const configurationProof: Proof = {
  promise: 'An accepted configuration never reverts',
  mechanism: 'changes are applied in unbroken order of revision only, snapshots only when higher',
  faults: 'two operators race; an old change is delivered once more, late',
  file: 'packages/configuration/src/replicaState.ts',
  steps: [
    step('raceOperators', 0, 1),
    step('advance', 30),
    step('raceOperators', 1, 2),
    step('advance', 30),
    step('repeatChange', 0, 1),
    step('repeatChange', 3, 2),
    step('advance', 5),
  ],
  sabotage: {
    rewire: (options) => ({
      ...options,
      replicaState: new StateWithoutOrder(KEPT_CHANGES, createSilentLogger()),
    }),
  },
  expected: /went back from revision|configurationNeverReverts/,
};
