import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createSilentLogger, setInvariantsFatal } from '@snipehaven/common';
import type { Resource, ResourceChange } from '@snipehaven/resources';
import { ReplicaState } from './replicaState.js';
import { buildTeam } from './testKit.js';

const KEPT_CHANGES = 5;
const NAMES = ['a', 'b', 'c'];

setInvariantsFatal(true);

const createState = (): ReplicaState => new ReplicaState(KEPT_CHANGES, createSilentLogger());

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

/** A history in which each third change deletes. */
const buildChanges = (count: number): readonly ResourceChange[] =>
  Array.from({ length: count }, (_, index) => {
    const revision = index + 1;
    const name = NAMES[index % NAMES.length] ?? '';
    const change = { revision, kind: 'Team' as const, name };
    return revision % 3 === 0 ? change : { ...change, resource: buildResource(name, revision) };
  });

test('applies changes in unbroken order only', () => {
  // Symptom: a team's old permissions come back for a moment.
  // Sequence: changes 3 and 2 overtake change 1; 1 and 2 come again after 3.
  // Cause: pushes, fetches and polls run side by side over different connections.
  const [first, second, third] = buildChanges(3) as [
    ResourceChange,
    ResourceChange,
    ResourceChange,
  ];
  const state = createState();
  const heard: number[] = [];
  state.onChange((changes) => heard.push(...changes.map(({ revision }) => revision)));
  state.applyChanges([third]);
  state.applyChanges([second, third]);
  assert.is(state.revision, 0);
  assert.is(state.headRevision, 3);
  state.applyChanges([first]);
  state.applyChanges([second, first]);
  assert.equal(heard, [1, 2, 3]);
  assert.is(state.revision, 3);
});

test('ignores a snapshot that is older than what it has', () => {
  // Symptom: a daemon goes back by minutes.
  // Sequence: it catches up from a peer while a snapshot is on its way; the snapshot arrives last.
  // Cause: object stores answer late, and snapshots are made now and then only.
  const state = createState();
  state.applyChanges(buildChanges(4));
  const isInstalled = state.installSnapshot({ revision: 2, resources: [buildResource('a', 1)] });
  assert.not(isInstalled);
  assert.is(state.revision, 4);
});

test('a snapshot tells watchers what changed, and ends the history', () => {
  // Symptom: a watcher misses changes without knowing.
  // Sequence: a daemon was cut off so long that peers gave it a snapshot; a watcher asks for what it missed.
  // Cause: the changes in between are nowhere to be had.
  const state = createState();
  state.applyChanges(buildChanges(2));
  const heard: ResourceChange[] = [];
  state.onChange((changes) => heard.push(...changes));
  state.installSnapshot({ revision: 9, resources: [buildResource('b', 8)] });
  assert.equal(
    heard.map(({ revision, name, resource }) => [revision, name, resource !== undefined]),
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

test('converges under any order, loss and repetition, once anti-entropy has run', () => {
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
