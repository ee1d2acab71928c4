/** Every command against the daemon's own operator API, over fakes of what stands behind it. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  startFakeOperatorApi,
  WRITE_TOKEN,
  type FakeOperatorApi,
} from '@snipehaven/daemon/dist/operatorApi/testSupport/fakeOperatorApi.js';
import { runCli, type CliOptions, type CliRun } from './testSupport/runCli.js';
import { createEvent, createReport, createRollout } from './testSupport/samples.js';

type Run = (args: readonly string[], options?: CliOptions) => Promise<CliRun>;

const withDaemonApi =
  (use: (run: Run, state: FakeOperatorApi['state']) => Promise<void>): (() => Promise<void>) =>
  async () => {
    const api = await startFakeOperatorApi();
    const env = { SNIPECTL_TOKEN: WRITE_TOKEN };
    try {
      await use((args, options) => runCli([api.url], args, { ...options, env }), api.state);
    } finally {
      await api.close();
    }
  };

const MANIFESTS = `
[[resources]]
kind = "Model"
metadata = { name = "small" }
spec = { description = "tags" }

[[resources]]
kind = "Rollout"
metadata = { name = "small-4" }
[resources.spec]
model = "small"
stableVersion = "small@3"
candidateVersion = "small@4"
stages = [{ sharePct = 5 }, { sharePct = 100 }]
`;

test(
  'a day of configuration',
  withDaemonApi(async (run) => {
    const apply = ['apply', '-f', '-', '--wait', 'inForce'];
    assert.is((await run(['diff', '-f', '-'], { stdin: MANIFESTS })).exitCode, 8);
    const applied = await run(apply, { stdin: MANIFESTS });
    assert.is(applied.exitCode, 0, applied.stderr);
    assert.match(applied.stdout, 'Rollout small-4 created');
    assert.match((await run(['rollout', 'pause', 'small-4'])).stdout, 'spec.isPaused');
    const edited = await run(['get', 'Rollout', 'small-4', '-o', 'json']);
    assert.is(JSON.parse(edited.stdout).spec.isPaused, true);
    assert.is((await run(['rollout', 'resume', 'small-4'])).exitCode, 0);
    const late = await run(['apply', '-f', '-'], { stdin: edited.stdout });
    assert.is(late.exitCode, 3, 'what was read before the resume is no longer present');
    assert.match(late.stderr, 'spec.isPaused: false -> true');
    assert.match((await run(['describe', 'Model', 'small'])).stdout, '1/1 at revision 1');
    assert.match((await run(['explain', 'Rollout.stages'])).stdout, 'spec.stages[].sharePct');
    const remove = ['delete', 'Rollout', 'small-4', '--yes', '--wait', 'inForce'];
    assert.is((await run(remove)).exitCode, 0);
    const watched = await run(['watch', '--after', '0', '--count', '5']);
    assert.match(watched.stdout, '5 Rollout small-4 deleted');
  }),
);

test(
  'safe moves',
  withDaemonApi(async (run, state) => {
    const { safeMoves } = state;
    assert.is((await run(['withdraw', 'small@3', '--yes', '--reason', 'bad'])).exitCode, 0);
    assert.is(safeMoves.isVersionBlocked('small@3'), true);
    assert.match((await run(['get', 'Withdrawal'])).stdout, /small@3 .*durable/);
    assert.match((await run(['status'])).stdout, 'withdraw/small@3');
    assert.is((await run(['lift', 'small@3', '--yes'])).exitCode, 0);
    assert.is(safeMoves.isVersionBlocked('small@3'), false);
    assert.is((await run(['drain', 'entry-1', '--yes'])).exitCode, 0);
    assert.equal(state.drainedVms, ['entry-1']);
    assert.match(
      (await run(['drain', 'entry-2', '--yes'])).stderr,
      'ask the operator API of entry-2',
    );
    assert.is((await run(['drain', 'nobody', '--yes'])).exitCode, 4);
  }),
);

test(
  'records',
  withDaemonApi(async (run, state) => {
    const events = [createEvent('a', 1, 10)] as FakeOperatorApi['state']['events'];
    const { billing } = createReport('studio');
    const rollouts = [createRollout('small-4', 'running')] as FakeOperatorApi['state']['rollouts'];
    Object.assign(state, {
      events,
      rollouts,
      billing: billing.map((row) => ({ ...row, teamUid: 'u' })),
    });
    assert.match((await run(['timeline', '--since', '5m'])).stdout, 'requestAdmitted');
    assert.match((await run(['billing', '--since', '1d'])).stdout, 'studio');
    assert.match((await run(['report'])).stdout, 'small-4');
    assert.match((await run(['rollout', 'status'])).stdout, 'small-4');
    assert.match((await run(['members'])).stdout, 'entry-2');
    assert.match((await run(['top', '--count', '1'])).stdout, 'small-4');
    assert.is((await run(['describe', 'request', 'r-9'])).exitCode, 4);
  }),
);

test.run();
