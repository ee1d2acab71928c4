/** `snipectl account` over lines as daemons write them. */
import { readFile } from 'node:fs/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { withCli } from './testSupport/runCli.js';

const line = (event: string, atMs: number, more: Readonly<Record<string, unknown>>): string =>
  JSON.stringify({ timeMs: 10_000 + atMs, event, route: 'r', atMs, ...more });

/** One answered in time, one late by its second run, one refused unsent, one that failed twice. */
const LINES = [
  line('sent', 1, { request: 'good', upstream: 'u-1', model: 's', expectedMs: 40 }),
  line('answered', 90, {
    request: 'good',
    upstreamMs: 50,
    beganMs: 55,
    targetMs: 1_000,
    isLate: false,
  }),
  `collector 12:00 ${line('sent', 2, { request: 'late', upstream: 'u-1', model: 's', expectedMs: 90 })}`,
  line('askedLargerModel', 102, {
    request: 'late',
    upstreamMs: 100,
    confidence: 31,
    expectedStartMs: 400.4,
  }),
  line('sent', 102, { request: 'late', upstream: 'u-2', model: 'l', expectedMs: 400 }),
  line('answered', 1_900, {
    request: 'late',
    upstreamMs: 1_700,
    beganMs: 1_802,
    targetMs: 1_000,
    isLate: true,
  }),
  line('refused', 3, { request: 'unsent', reason: 'noUpstream' }),
  line('sent', 1, { request: 'failed', upstream: 'u-1' }),
  line('attemptFailed', 700, { request: 'failed' }),
  line('sent', 700, { request: 'failed', upstream: 'u-2' }),
  line('refused', 800, { request: 'failed', reason: 'upstreamFailed' }),
  '{"timeMs":1,"event":"started"}',
  'no line',
].join('\n');

test(
  'each troubled request is told with the step and the decision that took its time',
  withCli(async ({ run, write }) => {
    const { exitCode, stdout } = await run(['account', await write('vm.log', LINES), '-o', 'json']);
    assert.is(exitCode, 0);
    const account = JSON.parse(stdout) as {
      troubled: { request: string; trouble: string; delay: string; decision: string }[];
      routes: { requests: number }[];
      skippedLines: number;
    };
    assert.is(account.routes[0]?.requests, 4);
    assert.is(account.skippedLines, 2);
    const byId = new Map(account.troubled.map((one) => [one.request, one]));
    assert.is(byId.get('good'), undefined);
    assert.is(byId.get('late')?.delay, 'secondRun');
    assert.match(
      byId.get('late')?.decision ?? '',
      /confidence 31, begin expected in 400 ms.*l at u-2/,
    );
    assert.is(byId.get('unsent')?.delay, 'here');
    assert.is(byId.get('unsent')?.decision, 'noUpstream');
    assert.is(byId.get('failed')?.delay, 'failedRuns');
  }),
);

test(
  'the page shows the load and escapes what the lines hold',
  withCli(async ({ run, write }) => {
    const hostile = LINES.replaceAll('u-2', '<script>');
    const page = await write('account.html', '');
    const { exitCode } = await run(['account', await write('vm.log', hostile), '--html', page]);
    assert.is(exitCode, 0);
    const html = await readFile(page, 'utf8');
    assert.match(html, /Requests at the 2 busiest upstreams/);
    assert.not.match(html, /<script>/);
  }),
);

test(
  'a file without requests, or a wrong number, is an error that says so',
  withCli(async ({ run, write }) => {
    const empty = await run(['account', await write('vm.log', 'nothing')]);
    assert.is(empty.exitCode, 2);
    assert.match(empty.stderr, /no request in 1 lines/);
    const wrong = await run(['account', await write('b.log', LINES), '--most', 'x']);
    assert.match(wrong.stderr, /--most x/);
  }),
);

test.run();
