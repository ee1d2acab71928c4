import { UpstreamBrokenError } from '@snipehaven/upstream';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { AnswerAssembler, toCompletionBody, toCompletionChunks } from './answerAssembler.js';
import { LiveConsumer } from './eventConsumers.js';
import type { AnswerSink } from './types.js';

const toChunk = (content: string): string =>
  JSON.stringify({ choices: [{ index: 0, delta: { content }, finish_reason: null }] });

const usage = { prompt_tokens: 3, completion_tokens: 2, total_tokens: 5 };
const lastChunk = JSON.stringify({ choices: [{ delta: {}, finish_reason: 'length' }], usage });

test('puts text, end and usage together', () => {
  const assembler = new AnswerAssembler(true);
  assert.equal(
    [toChunk('a'), toChunk('"usage":'), lastChunk].map((data) => assembler.add(data)),
    [false, false, true],
  );
  assert.is(assembler.text, 'a"usage":');
  assert.is(assembler.finishReason, 'length');
  assert.equal(assembler.usage, { promptTokens: 3, completionTokens: 2 });
});

test('looks for usage only where the text is not wanted', () => {
  const assembler = new AnswerAssembler(false);
  [toChunk('a'), 'not read', lastChunk].forEach((data) => assembler.add(data));
  assert.is(assembler.text, '');
  assert.equal(assembler.usage, { promptTokens: 3, completionTokens: 2 });
});

test('refuses chunks and counts that would make a wrong bill', () => {
  const wrong = [
    'no JSON',
    'null',
    '5',
    '{"usage":{}}',
    '{"usage":{"prompt_tokens":-1,"completion_tokens":1}}',
    '{"usage":{"prompt_tokens":"1","completion_tokens":1}}',
  ];
  wrong.forEach((data) => {
    assert.throws(
      () => new AnswerAssembler(true).add(data),
      (error: unknown) => error instanceof UpstreamBrokenError,
      data,
    );
  });
});

test('makes whole and streamed answers of the same text, with usage where it is wanted', () => {
  const fields = {
    requestId: 'r1',
    version: 'small@1',
    text: 'two words',
    finishReason: undefined,
    usage: { promptTokens: 3, completionTokens: 2 },
  };
  const whole = JSON.parse(toCompletionBody(fields)) as { usage: object };
  assert.equal(whole.usage, usage);
  const rebuilt = new AnswerAssembler(true);
  toCompletionChunks(fields, true).forEach((chunk) => rebuilt.add(chunk));
  assert.equal([rebuilt.text, rebuilt.finishReason], ['two words', 'stop']);
  assert.equal(rebuilt.usage, fields.usage);
  assert.is(toCompletionChunks(fields, false).length, 2);
});

test('takes the usage out of a live answer, and leaves the rest of its chunk', () => {
  // Symptom: a caller's library waits for the reason of the end, or calls the answer cut.
  // Sequence: the engine sends usage and reason in one chunk; the caller asks for no usage.
  // Cause: the whole chunk is dropped for its usage.
  const written: string[] = [];
  const sink = {
    begin: () => undefined,
    writeEvents: (data: readonly string[]) => {
      written.push(...data);
    },
  } as unknown as AnswerSink;
  const onlyUsage = JSON.stringify({ choices: [], usage });
  const events = [toChunk('a'), lastChunk, onlyUsage].map((data, index) => ({
    offset: index + 1,
    data,
  }));
  void new LiveConsumer(sink, {}, false).take(events);
  const ended = JSON.stringify({ choices: [{ delta: {}, finish_reason: 'length' }] });
  assert.equal(written.splice(0), [toChunk('a'), ended]);
  void new LiveConsumer(sink, {}, true).take(events);
  assert.equal(written, [toChunk('a'), lastChunk, onlyUsage]);
});

test.run();
