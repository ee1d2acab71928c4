/** The messages by which daemons lend each other places at brittle upstreams; short, so not compressed. */
import type { Borrower, Holding, PlaceMessage, PlaceReturn } from '../places/types.js';

type WireHolding = readonly [lifeId: string, untracked: number, ...ids: number[]];

type WireReturn = readonly [id: number, lifeId: string, isTurnedAway: boolean];

type WireMessage =
  | readonly [
      kind: 'ask',
      vm: string,
      process: number,
      id: number,
      lifeId: string,
      rejectionsPerS: number,
    ]
  | readonly [kind: 'reply', process: number, id: number, isGranted: boolean, waitMs: number]
  | readonly [kind: 'return', vm: string, process: number, returned: readonly WireReturn[]]
  | readonly [kind: 'held', vm: string, process: number, holdings: readonly WireHolding[]];

type MessageOf<Kind extends PlaceMessage['kind']> = Extract<PlaceMessage, { kind: Kind }>;

type Encoders = {
  readonly [Kind in PlaceMessage['kind']]: (message: MessageOf<Kind>) => WireMessage;
};

const encoders: Encoders = {
  ask: ({ from: { vm, process }, request: { id, lifeId, rejectionsPerS } }) => [
    'ask',
    vm,
    process,
    id,
    lifeId,
    rejectionsPerS,
  ],
  reply: ({ reply: { process, id, isGranted, waitMs } }) => [
    'reply',
    process,
    id,
    isGranted,
    Math.ceil(waitMs),
  ],
  return: ({ from: { vm, process }, returned }) => [
    'return',
    vm,
    process,
    returned.map(({ id, lifeId, isTurnedAway }): WireReturn => [id, lifeId, isTurnedAway]),
  ],
  held: ({ from: { vm, process }, holdings }) => [
    'held',
    vm,
    process,
    holdings.map(({ lifeId, untracked, ids }): WireHolding => [lifeId, untracked, ...ids]),
  ],
};

export const encodePlaceMessage = (message: PlaceMessage): Buffer => {
  const encode = encoders[message.kind] as (one: PlaceMessage) => WireMessage;
  return Buffer.from(JSON.stringify({ places: encode(message) }));
};

type Fields = readonly unknown[];

const isText = (value: unknown): value is string => typeof value === 'string';
const isCount = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;
const isAmount = (value: unknown): value is number =>
  Number.isFinite(value) && (value as number) >= 0;
const isFlag = (value: unknown): value is boolean => typeof value === 'boolean';

const readBorrower = ([vm, process]: Fields): Borrower | undefined =>
  isText(vm) && isCount(process) ? { vm, process } : undefined;

const readHolding = (value: unknown): Holding | undefined => {
  const [lifeId, ...counts] = Array.isArray(value) ? (value as Fields) : [];
  const [untracked, ...ids] = counts;
  return isText(lifeId) && isCount(untracked) && ids.every(isCount)
    ? { lifeId, untracked, ids }
    : undefined;
};

const readReturn = (value: unknown): PlaceReturn | undefined => {
  const [id, lifeId, isTurnedAway] = Array.isArray(value) ? (value as Fields) : [];
  return isCount(id) && isText(lifeId) && isFlag(isTurnedAway)
    ? { id, lifeId, isTurnedAway }
    : undefined;
};

/** Undefined unless all items are valid. */
const readAll = <Item>(
  wire: unknown,
  read: (value: unknown) => Item | undefined,
): readonly Item[] | undefined => {
  const items = Array.isArray(wire) ? (wire as Fields).map(read) : [undefined];
  return items.every((one): one is Item => one !== undefined) ? items : undefined;
};

const decoders: Readonly<Record<string, (fields: Fields) => PlaceMessage | undefined>> = {
  ask: (fields) => {
    const from = readBorrower(fields);
    const [, , id, lifeId, rejectionsPerS] = fields;
    return from !== undefined && isCount(id) && isText(lifeId) && isAmount(rejectionsPerS)
      ? { kind: 'ask', from, request: { id, lifeId, rejectionsPerS } }
      : undefined;
  },
  reply: ([process, id, isGranted, waitMs]) =>
    isCount(process) && isCount(id) && isFlag(isGranted) && isAmount(waitMs)
      ? { kind: 'reply', reply: { process, id, isGranted, waitMs } }
      : undefined,
  return: (fields) => {
    const from = readBorrower(fields);
    const returned = readAll(fields[2], readReturn);
    return from !== undefined && returned !== undefined
      ? { kind: 'return', from, returned }
      : undefined;
  },
  held: (fields) => {
    const from = readBorrower(fields);
    const holdings = readAll(fields[2], readHolding);
    return from !== undefined && holdings !== undefined
      ? { kind: 'held', from, holdings }
      : undefined;
  },
};

/** Undefined if the decoded datagram is not such a message. */
export const decodePlaceMessage = (message: unknown): PlaceMessage | undefined => {
  const isNamed = typeof message === 'object' && message !== null && 'places' in message;
  const [kind, ...fields] = isNamed && Array.isArray(message.places) ? message.places : [];
  const decode = isText(kind) && Object.hasOwn(decoders, kind) ? decoders[kind] : undefined;
  return decode?.(fields as Fields);
};
