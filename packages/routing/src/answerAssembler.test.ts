import { UpstreamBrokenError } from '@snipehaven/upstream';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { AnswerAssembler, toCompletionBody, toCompletionChunks } from './answerAssembler.js';
import { StreamingConsumer } from './eventConsumers.js';
import type { AnswerSink } from './types.js';

const toChunk = (content: string): string =>
  JSON.stringify({ choices: [{ index: 0, delta: { content }, finish_reason: null }] });

const usage = { prompt_tokens: 3, completion_tokens: 2, total_tokens: 5 };
const lastChunk = JSON.stringify({ choices: [{ delta: {}, finish_reason: 'length' }], usage });

test('assembles text, finish reason and usage', () => {
  const assembler = new AnswerAssembler(true);
  assert.equal(
    [toChunk('a'), toChunk('"usage":'), lastChunk].map((data) => assembler.add(data)),
    [false, false, true],
  );
  assert.is(assembler.text, 'a"usage":');
  assert.is(assembler.finishReason, 'length');
  assert.equal(assembler.usage, { promptTokens: 3, completionTokens: 2 });
});

test('reads only the usage if the text is not kept', () => {
  const assembler = new AnswerAssembler(false);
  [toChunk('a'), 'not read', lastChunk].forEach((data) => assembler.add(data));
  assert.is(assembler.text, '');
  assert.equal(assembler.usage, { promptTokens: 3, completionTokens: 2 });
});

test('rejects malformed chunks and token counts that would cause wrong bills', () => {
  const malformedChunks = [
    'no JSON',
    'null',
    '5',
    '{"usage":{}}',
    '{"usage":{"prompt_tokens":-1,"completion_tokens":1}}',
    '{"usage":{"prompt_tokens":"1","completion_tokens":1}}',
  ];
  malformedChunks.forEach((data) => {
    assert.throws(
      () => new AnswerAssembler(true).add(data),
      (error: unknown) => error instanceof UpstreamBrokenError,
      data,
    );
  });
});

test('builds complete and streamed answers with the same text, and usage on request', () => {
  const fields = {
    requestId: 'r1',
    version: 'small@1',
    text: 'two words',
    finishReason: undefined,
    usage: { promptTokens: 3, completionTokens: 2 },
  };
  const whole = JSON.parse(toCompletionBody(fields)) as { usage: object };
  assert.equal(whole.usage, usage);
  const reassembled = new AnswerAssembler(true);
  toCompletionChunks(fields, true).forEach((chunk) => reassembled.add(chunk));
  assert.equal([reassembled.text, reassembled.finishReason], ['two words', 'stop']);
  assert.equal(reassembled.usage, fields.usage);
  assert.is(toCompletionChunks(fields, false).length, 2);
});

test('removes the usage from a streamed answer and keeps the rest of its chunk', () => {
  // The engine sends usage and finish reason in one chunk. Dropping the whole chunk for a caller
  // that asked for no usage makes its library wait for the finish reason or report a truncated
  // answer.
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
  void new StreamingConsumer(sink, {}, false).take(events);
  const ended = JSON.stringify({ choices: [{ delta: {}, finish_reason: 'length' }] });
  assert.equal(written.splice(0), [toChunk('a'), ended]);
  void new StreamingConsumer(sink, {}, true).take(events);
  assert.equal(written, [toChunk('a'), lastChunk, onlyUsage]);
});

test.run();
