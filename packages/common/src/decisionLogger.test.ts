/** Lines for each decision: bounded, and never in the way of requests. */
import { constants, open } from 'node:fs';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { LineBudget } from './lineBudget.js';
import { createBackgroundDestination, createDecisionLogger } from './logger.js';

test('lines beyond a second’s budget are left out, counted, and the count is logged', () => {
  const lines: string[] = [];
  const logger = createDecisionLogger({ vm: 'a' }, { write: (line) => lines.push(line) });
  for (let index = 0; index < 400; index += 1) {
    logger.info({ event: 'sent', request: String(index) });
  }
  logger.info({ event: 'started' });
  assert.is(lines.filter((line) => line.includes('"sent"')).length, 150);
  assert.is(lines.filter((line) => line.includes('"started"')).length, 1);
});

test('the count of left out lines comes with the next second, and the budget starts anew', () => {
  const budget = new LineBudget();
  for (let index = 0; index < 151; index += 1) {
    budget.take('sent', 10);
  }
  assert.is(budget.takeLeftOut(500), undefined);
  assert.equal(budget.takeLeftOut(1_200), { sent: 1 });
  assert.ok(budget.take('sent', 1_201));
});

// Symptom: all requests of a daemon stand still. Sequence: whoever reads its output stops; the pipe fills up.
// Cause: a log line is written before the request goes on.
test('a reader that stops reading does not hold the writer', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'log-'));
  const pipe = join(folder, 'pipe');
  await promisify(execFile)('mkfifo', [pipe]);
  // Opened for both, so that opening waits for nobody; never read.
  // eslint-disable-next-line no-bitwise -- flags of open are bits
  const fd = await promisify(open)(pipe, constants.O_RDWR | constants.O_NONBLOCK);
  const destination = createBackgroundDestination(fd);
  const logger = createDecisionLogger({ vm: 'a' }, destination);
  const text = 'x'.repeat(20_000);
  let ticks = 0;
  for (let index = 0; index < 100; index += 1) {
    logger.info({ event: `kind ${index}`, text });
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    ticks += 1;
  }
  assert.is(ticks, 100);
  // Closes the descriptor; else it would go on trying to write, and the process would not end.
  destination.destroy();
  await rm(folder, { recursive: true });
});

test.run();
