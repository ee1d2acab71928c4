/** Permissions and withdrawals that the request path does not look at. */
import type { ConfigurationStore, SafeMoves } from '@snipehaven/configuration';
import type { Resource } from '@snipehaven/resources';
import { override } from '../override.js';
import type { Proof } from '../types.js';
import { forEach, step } from '../steps.js';

const withoutWithdrawals = (safeMoves: SafeMoves): SafeMoves =>
  override(safeMoves, { isVersionBlocked: () => false });

export const withdrawalProof: Proof = {
  promise: 'A withdrawn version receives no new work',
  mechanism:
    'withdrawals as joins, in force where they are accepted, looked at before each dispatch',
  faults: 'withdrawn while the table is down and the data centre is cut off from the platform',
  file: 'packages/configuration/src/safeMoves/safeMoveRegistry.ts',
  steps: [
    step('cutPlatform', 0),
    step('tableDown'),
    step('withdraw', 0, 0),
    step('advance', 5),
    step('chat', 0),
    step('chat', 1),
    step('advance', 20),
    step('tableWell'),
    step('heal'),
  ],
  sabotage: {
    rewire: (options) => ({
      ...options,
      decorateRouting: (dependencies) => ({
        ...dependencies,
        safeMoves: withoutWithdrawals(dependencies.safeMoves),
      }),
    }),
  },
  expected: /on withdrawn/,
};

const allowAll = (team: Resource<'Team'>): Resource<'Team'> => ({
  ...team,
  spec: { ...team.spec, allowedVersions: ['small@*', 'mid@*', 'large@*'] },
});

const withoutPermissions = (configuration: ConfigurationStore): ConfigurationStore =>
  override(configuration, {
    getView: () => {
      const view = configuration.getView();
      return override(view, {
        list: ((kind: 'Team') =>
          kind === 'Team' ? view.list(kind).map(allowAll) : view.list(kind)) as typeof view.list,
      });
    },
  });

export const permissionProof: Proof = {
  promise: 'A request runs only on a model and version that its team allows',
  mechanism: "candidates are the team's allowed versions; asserted again at each step",
  faults: "the team's only cheap version is withdrawn",
  file: 'packages/routing/src/teamDirectory.ts, planChat.ts',
  steps: [
    step('withdraw', 0, 0),
    step('advance', 40),
    ...forEach(6, 'chat', 1),
    step('advance', 40),
  ],
  sabotage: {
    rewire: (options) => ({
      ...options,
      decorateRouting: (dependencies) => ({
        ...dependencies,
        configuration: withoutPermissions(dependencies.configuration),
      }),
    }),
  },
  expected: /wrongVersion/,
};
