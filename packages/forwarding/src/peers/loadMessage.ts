/** What a daemon tells the others of its work at the upstreams: a datagram of JSON. */

/** Work and requests of one daemon at one upstream. */
export interface UpstreamLoad {
  readonly work: number;
  readonly requests: number;
}

export interface LoadMessage {
  readonly vm: string;
  /** Rises with each message of one process; an older one that comes late is dropped. */
  readonly sequence: number;
  /** Tells a restarted process, which counts from the beginning again. */
  readonly process: number;
  readonly loads: ReadonlyMap<string, UpstreamLoad>;
}

type WireLoad = readonly [upstream: string, work: number, requests: number];
type WireMessage = readonly [
  vm: string,
  process: number,
  sequence: number,
  loads: readonly WireLoad[],
];

export const encodeLoadMessage = ({ vm, process, sequence, loads }: LoadMessage): Buffer => {
  const wireLoads = [...loads].map(([upstream, { work, requests }]): WireLoad => [
    upstream,
    Math.round(work),
    requests,
  ]);
  const message: WireMessage = [vm, process, sequence, wireLoads];
  return Buffer.from(JSON.stringify(message));
};

const isWireLoad = (value: unknown): value is WireLoad =>
  Array.isArray(value) &&
  typeof value[0] === 'string' &&
  Number.isFinite(value[1]) &&
  Number.isFinite(value[2]);

/** Undefined when the datagram is none of ours. */
export const decodeLoadMessage = (bytes: Buffer): LoadMessage | undefined => {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString('utf8'));
  } catch {
    // A stray datagram; the next one of a peer comes within a second.
    return undefined;
  }
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [vm, process, sequence, loads] = value as unknown[];
  const isOurs =
    typeof vm === 'string' &&
    typeof process === 'number' &&
    typeof sequence === 'number' &&
    Array.isArray(loads) &&
    loads.every(isWireLoad);
  if (!isOurs) {
    return undefined;
  }
  const entries = loads.map(
    ([upstream, work, requests]) => [upstream, { work, requests }] as const,
  );
  return { vm, process, sequence, loads: new Map(entries) };
};
