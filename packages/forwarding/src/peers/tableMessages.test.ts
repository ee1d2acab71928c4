import { createRandom } from '@snipehaven/common';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { TableSnapshot } from '../store/types.js';
import { parseDatagram } from './datagram.js';
import {
  PartAssembler,
  decodeTableMessage,
  encodeTable,
  encodeTableRequest,
  type TablePart,
} from './tableMessages.js';

const HOST = '10.0.0.1';
const PEER = { vm: 'vm-1', dataCentre: 'dc-1', host: HOST, port: 7_000 };

const createTable = (version: number, characters: number): TableSnapshot => {
  const random = createRandom(version);
  const value = Array.from({ length: characters }, () => random.nextInt(36).toString(36)).join('');
  const rows = [{ key: 'row', value, era: 1, version }];
  return { table: 'operator', era: 1, version, lastChange: version, serverTimeMs: 1, rows };
};

const decodeParts = (table: TableSnapshot): readonly TablePart[] =>
  encodeTable(table).flatMap((bytes) => {
    const message = decodeTableMessage(parseDatagram(bytes));
    return message?.kind === 'tablePart' ? [message.tablePart] : [];
  });

test('a request is decoded as it was encoded', () => {
  const request = { peer: PEER, table: 'operator', atLeast: { era: 2, version: 7 } };
  assert.equal(decodeTableMessage(parseDatagram(encodeTableRequest(request))), {
    kind: 'tableRequest',
    tableRequest: request,
  });
});

test('a large table is joined from its parts in any order, also when some arrive twice', () => {
  const table = createTable(5, 100_000);
  const parts = decodeParts(table);
  assert.ok(parts.length > 1);
  const assembler = new PartAssembler();
  const [last, ...others] = [...parts].reverse();
  assert.ok(last);
  [...others, ...others].forEach((part) => assert.is(assembler.add(HOST, part), undefined));
  assert.equal(assembler.add(HOST, last), table);
});

// Guards against a table mixed from two versions.
test('parts of another version or sender are not joined', () => {
  const [first] = decodeParts(createTable(5, 100_000));
  const [missing, ...rest] = decodeParts(createTable(6, 100_000));
  const assembler = new PartAssembler();
  assert.ok(first);
  assert.ok(missing);
  assert.is(assembler.add(HOST, first), undefined);
  rest.forEach((part) => assert.is(assembler.add(HOST, part), undefined));
  assert.is(assembler.add('10.0.0.2', missing), undefined);
});

// Guards against a lost part after which no later answer of that daemon can be joined.
test('a table is joined from a second answer of the same version after the first lost a part', () => {
  const table = createTable(5, 100_000);
  const confirmed = { ...table, serverTimeMs: 1_700_000_123_456 };
  const assembler = new PartAssembler();
  const [, ...incomplete] = decodeParts(table);
  incomplete.forEach((part) => assert.is(assembler.add(HOST, part), undefined));
  const joined = decodeParts(confirmed).map((part) => assembler.add(HOST, part));
  assert.equal(
    joined.filter((one) => one !== undefined),
    [confirmed],
  );
});

// Guards against memory that grows with each sender of a table whose parts were lost.
test('the oldest incomplete tables are dropped', () => {
  const assembler = new PartAssembler();
  const [first, ...rest] = decodeParts(createTable(5, 100_000));
  assert.ok(first);
  Array.from({ length: 100 }, (_, index) => assembler.add(`10.0.1.${index}`, first));
  const joinFrom = (host: string) => rest.map((part) => assembler.add(host, part)).at(-1);
  assert.is(joinFrom('10.0.1.0'), undefined);
  assert.ok(joinFrom('10.0.1.99'));
});

test('a table of more than the largest number of parts is not sent', () => {
  assert.equal(encodeTable(createTable(5, 400_000)), []);
});

test('malformed messages are ignored', () => {
  const part = { table: 'operator', digest: '', index: 0, count: 2, bytes: '' };
  const malformed: readonly unknown[] = [
    undefined,
    { kind: 'other' },
    { kind: 'tableRequest', tableRequest: { table: 'operator', atLeastVersion: 1 } },
    { kind: 'tableRequest', tableRequest: { peer: PEER, table: 'operator' } },
    { kind: 'tablePart', tablePart: { ...part, digest: 1 } },
    { kind: 'tablePart', tablePart: { ...part, index: 2 } },
    { kind: 'tablePart', tablePart: { ...part, count: 1_000_000 } },
    { kind: 'tablePart', tablePart: { ...part, index: -1 } },
    { kind: 'tablePart', tablePart: { ...part, bytes: 1 } },
  ];
  malformed.forEach((value) => assert.is(decodeTableMessage(value), undefined));
});

test.run();
