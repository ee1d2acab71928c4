import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fail, ok, startFakeApi, type FakeApi } from './testSupport/fakeApi.js';
import { runCli, withCli } from './testSupport/runCli.js';
import { createApplyReply, createModelReply, createStatusReply } from './testSupport/samples.js';

const MANIFESTS = `
[[resources]]
kind = "Model"
metadata = { name = "small" }
spec = { description = "b" }

[[resources]]
kind = "Model"
metadata = { name = "large", resourceVersion = 4 }
spec = {}
`;

const serveModels = (api: FakeApi): void => {
  api.handlers.set('GET /api/resources/Model/small', () => ok(createModelReply('small', 3)));
  ['small', 'large'].forEach((name) =>
    api.handlers.set(`PUT /api/resources/Model/${name}`, ({ query }) =>
      ok(createApplyReply('changed', name, query.get('dryRun') === 'true')),
    ),
  );
};

const listPuts = (api: FakeApi) => api.calls.filter(({ method }) => method === 'PUT');

test(
  'apply writes each resource under the version that it read, or that the manifest names',
  withCli(async ({ api, run, write }) => {
    serveModels(api);
    const path = await write('models.toml', MANIFESTS);
    const { exitCode, stdout } = await run(['apply', '-f', path]);
    assert.is(exitCode, 0);
    assert.match(stdout, 'Model small changed at resourceVersion 7');
    assert.match(stdout, 'spec.description: "a" -> "b"');
    const versions = listPuts(api).map(({ body }) => (body as Record<string, unknown>).metadata);
    assert.equal(versions, [
      { name: 'small', resourceVersion: 3 },
      { name: 'large', resourceVersion: 4 },
    ]);
    assert.is(api.calls[0]?.headers.authorization, 'Bearer secret');
  }),
);

test(
  'reads JSON and the standard input, and names the faults of a manifest before writing',
  withCli(async ({ api, run, write }) => {
    serveModels(api);
    const json = JSON.stringify({ resources: [{ kind: 'Model', metadata: { name: 'large' } }] });
    const wrong = await write('wrong.json', json);
    const invalid = await run(['apply', '-f', wrong]);
    assert.is(invalid.exitCode, 2);
    assert.match(invalid.stderr, 'wrong.json, resource 1: spec');
    assert.is((await run(['apply', '-f', `${wrong}.missing`])).exitCode, 2);
    assert.is((await run(['apply', '-f', '-'], { stdin: 'kind = ' })).exitCode, 2);
    assert.is(api.calls.length, 0);
    const fromStdin = await run(['apply', '-f', '-', '-o', 'json'], { stdin: MANIFESTS });
    assert.is(fromStdin.exitCode, 0);
    assert.is(JSON.parse(fromStdin.stdout).results.length, 2);
  }),
);

// Symptom: an operator's change vanishes under another's.
// Sequence: both read version 3; the other writes; this one applies.
// Cause: an apply that would not say which version it was made from.
test(
  'a lost race ends with exit code 3 and the difference',
  withCli(async ({ api, run, write }) => {
    serveModels(api);
    const differences = [{ path: 'spec.description', present: 'yours', sent: 'b' }];
    api.handlers.set('PUT /api/resources/Model/small', () =>
      fail(409, 'conflict', { differences }),
    );
    const path = await write('models.toml', MANIFESTS);
    const { exitCode, stderr } = await run(['apply', '-f', path]);
    assert.is(exitCode, 3);
    assert.match(stderr, 'spec.description: "yours" -> "b"');
    assert.is(listPuts(api).length, 1, 'the second resource is not written');
  }),
);

// Symptom: a change written twice, or a conflict with oneself.
// Sequence: the daemon writes; its reply is lost; snipectl tries the next daemon.
// Cause: a repeat that cannot be told from a second operator's write.
test('a write whose reply is lost is repeated under the same client request id', async () => {
  const [first, second] = await Promise.all([startFakeApi(), startFakeApi()]);
  [first, second].forEach(serveModels);
  first.handlers.set('PUT /api/resources/Model/small', () => 'cut');
  const stdin = MANIFESTS.slice(0, MANIFESTS.lastIndexOf('[[resources]]'));
  const run = await runCli([first.url, second.url], ['apply', '-f', '-'], { stdin });
  assert.is(run.exitCode, 0);
  const ids = [first, second].map((api) => listPuts(api)[0]?.headers['x-client-request-id']);
  assert.ok(ids[0]);
  assert.is(ids[0], ids[1]);
  await Promise.all([first.close(), second.close()]);
});

test(
  'waits until a change is in force, and gives up after the timeout',
  withCli(async ({ api, run, write }) => {
    serveModels(api);
    let polls = 0;
    api.handlers.set('GET /api/status', ({ query }) => {
      polls += 1;
      assert.is(query.get('revision'), '7');
      return ok(createStatusReply(polls < 3 ? 'false' : 'true'));
    });
    const path = await write('models.toml', MANIFESTS);
    const args = ['apply', '-f', path, '--wait', 'inForce', '--timeout'];
    assert.is((await run([...args, '20s'])).exitCode, 0);
    assert.is(polls, 3);
    api.handlers.set('GET /api/status', () => ok(createStatusReply('false')));
    const late = await run([...args, '50ms']);
    assert.is(late.exitCode, 7);
    assert.match(late.stderr, 'behind: entry-2#1');
    assert.is((await run(['apply', '-f', path, '--wait', 'luck'])).exitCode, 2);
  }),
);

test(
  'diff and dry run write nothing, and diff ends with exit code 8 where something differs',
  withCli(async ({ api, run, write }) => {
    serveModels(api);
    const path = await write('models.toml', MANIFESTS);
    const diff = await run(['diff', '-f', path]);
    assert.is(diff.exitCode, 8);
    assert.match(diff.stdout, 'Model small changed (dry run)');
    assert.is((await run(['apply', '--dry-run', '-f', path])).exitCode, 0);
    assert.ok(listPuts(api).every(({ query }) => query.get('dryRun') === 'true'));
    ['small', 'large'].forEach((name) =>
      api.handlers.set(`PUT /api/resources/Model/${name}`, () =>
        ok(createApplyReply('unchanged', name, true)),
      ),
    );
    assert.is((await run(['diff', '-f', path])).exitCode, 0);
  }),
);

test(
  'get, describe, delete and explain',
  withCli(async ({ api, run }) => {
    const resources = [createModelReply('small', 3)];
    api.handlers.set('GET /api/resources/Model', () => ok({ revision: 7, resources }));
    api.handlers.set('GET /api/resources/Model/small', () => ok(resources[0]));
    api.handlers.set('DELETE /api/resources/Model/small', () => ok({ revision: 8 }));
    const field = { type: 'number', isRequired: true, description: 'docs', rules: ['minimum 0'] };
    const fields = ['spec.limits', 'spec.limits.burst', 'spec.limitsX'].map((path) => ({
      path,
      ...field,
    }));
    api.handlers.set('GET /api/explain/Team', () => ok({ kind: 'Team', fields }));
    const list = await run(['get', 'Model']);
    assert.match(list.stdout, /Model\s+small\s+3\s+1\s+2\/2/);
    assert.is(JSON.parse((await run(['get', 'models', '-o', 'json'])).stdout).revision, 7);
    assert.match((await run(['describe', 'Model', 'small'])).stdout, '2/2 at revision 7');
    assert.is((await run(['delete', 'Model', 'small'], { stdin: 'no\n' })).exitCode, 9);
    assert.is((await run(['delete', 'Model', 'small'], { stdin: 'y\n' })).exitCode, 0);
    assert.is(api.calls.at(-1)?.query.get('resourceVersion'), '3');
    const explained = (await run(['explain', 'Team.limits'])).stdout;
    assert.match(explained, 'spec.limits.burst');
    assert.not.match(explained, 'limitsX');
    assert.is((await run(['explain', 'Team.nothing'])).exitCode, 2);
  }),
);

test(
  'each fault has its exit code and a line on stderr',
  withCli(async ({ api, run }) => {
    const cases: readonly [number, string, number][] = [
      [400, 'bad_request', 2],
      [401, 'not_authenticated', 6],
      [403, 'not_permitted', 6],
      [404, 'not_found', 4],
      [422, 'resource_invalid', 2],
      [500, 'internal', 1],
      [503, 'configuration_unavailable', 5],
    ];
    for (const [status, code, exitCode] of cases) {
      api.handlers.set('GET /api/resources/Model', () => fail(status, code));
      const result = await run(['get', 'Model']);
      assert.is(result.exitCode, exitCode, code);
      assert.match(result.stderr, code);
      assert.is(result.stdout, '');
    }
    const usage = await run(['frobnicate']);
    assert.is(usage.exitCode, 1);
    assert.is(usage.stdout, '');
    assert.is((await run(['get', 'Model', '-o', 'yaml'])).exitCode, 2);
    await api.close();
    assert.is((await run(['get', 'Model'])).exitCode, 5);
  }),
);

test(
  'colours only on a terminal',
  withCli(async ({ run }) => {
    const args = ['get', 'Model'];
    assert.not.match((await run(args)).stderr, '\u001b');
    assert.match((await run(args, { isTerminal: true })).stderr, '\u001b');
    const env = { NO_COLOR: '1' };
    assert.not.match((await run(args, { isTerminal: true, env })).stderr, '\u001b');
    assert.not.match((await run(['--help'])).stdout, '\u001b');
    assert.not.match((await run(['frobnicate'])).stderr, '\u001b');
  }),
);

test.run();
