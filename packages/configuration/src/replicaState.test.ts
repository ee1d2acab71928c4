import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createSilentLogger, setInvariantsFatal } from '@snipehaven/common';
import type { Resource, ResourceChange } from '@snipehaven/resources';
import { ReplicaState } from './replicaState.js';
import { buildTeam } from './testKit.js';

const RETAINED_CHANGES = 5;
const NAMES = ['a', 'b', 'c'];

setInvariantsFatal(true);

const createState = (): ReplicaState => new ReplicaState(RETAINED_CHANGES, createSilentLogger());

const buildResource = (name: string, revision: number): Resource => ({
  kind: 'Team',
  metadata: {
    name,
    uid: name,
    resourceVersion: revision,
    generation: 1,
    createdAtMs: 0,
    updatedAtMs: 0,
  },
  spec: buildTeam(name, 'a').spec,
});

/** Builds a history in which every third change deletes a resource. */
const buildChanges = (count: number): readonly ResourceChange[] =>
  Array.from({ length: count }, (_, index) => {
    const revision = index + 1;
    const name = NAMES[index % NAMES.length] ?? '';
    const change = { revision, kind: 'Team' as const, name };
    return revision % 3 === 0 ? change : { ...change, resource: buildResource(name, revision) };
  });

test('applies changes only in gapless order', () => {
  // Guards against briefly restoring old permissions when pushes, fetches and polls over different
  // connections deliver changes out of order or twice.
  const [first, second, third] = buildChanges(3) as [
    ResourceChange,
    ResourceChange,
    ResourceChange,
  ];
  const state = createState();
  const received: number[] = [];
  state.onChange((changes) => received.push(...changes.map(({ revision }) => revision)));
  state.applyChanges([third]);
  state.applyChanges([second, third]);
  assert.is(state.revision, 0);
  assert.is(state.headRevision, 3);
  state.applyChanges([first]);
  state.applyChanges([second, first]);
  assert.equal(received, [1, 2, 3]);
  assert.is(state.revision, 3);
});

test('ignores a snapshot older than the current state', () => {
  // Guards against going back to an older state when a snapshot arrives after the daemon has caught
  // up from a peer.
  const state = createState();
  state.applyChanges(buildChanges(4));
  const isInstalled = state.installSnapshot({ revision: 2, resources: [buildResource('a', 1)] });
  assert.not(isInstalled);
  assert.is(state.revision, 4);
});

test('a snapshot notifies watchers of the changes and resets the history', () => {
  // Guards against watchers that silently miss changes after a long partition, when the daemon
  // received a snapshot and the changes in between are not available.
  const state = createState();
  state.applyChanges(buildChanges(2));
  const received: ResourceChange[] = [];
  state.onChange((changes) => received.push(...changes));
  state.installSnapshot({ revision: 9, resources: [buildResource('b', 8)] });
  assert.equal(
    received.map(({ revision, name, resource }) => [revision, name, resource !== undefined]),
    [
      [8, 'b', true],
      [9, 'a', false],
    ],
  );
  assert.is(state.listChanges(2), undefined);
  assert.equal(state.listChanges(9), []);
});

test('keeps a bounded history', () => {
  const state = createState();
  state.applyChanges(buildChanges(8));
  assert.is(state.listChanges(2), undefined);
  assert.equal(
    state.listChanges(3)?.map(({ revision }) => revision),
    [4, 5, 6, 7, 8],
  );
});

test('converges under reordering, loss and duplication once anti-entropy has run', () => {
  const changes = buildChanges(20);
  const expected = createState();
  expected.applyChanges(changes);
  const deliveries = fc.array(fc.nat({ max: changes.length - 1 }), { maxLength: 60 });
  fc.assert(
    fc.property(deliveries, (order) => {
      const state = createState();
      let highest = 0;
      order.forEach((index) => {
        state.applyChanges(changes.slice(index, index + 1));
        assert.ok(state.revision >= highest);
        highest = state.revision;
      });
      state.applyChanges(changes.slice(state.revision));
      assert.is(state.revision, expected.revision);
      assert.equal(state.view.listAll(), expected.view.listAll());
    }),
    { seed: 42, numRuns: 200 },
  );
});

test.run();
