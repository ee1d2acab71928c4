/** Requests and answers as bytes, for callers and upstreams that work below HTTP. */
import { connect } from 'node:net';
import { HOST, KEY } from '@snipehaven/standins';

export const renderRequest = ({ method = 'POST', target, id, headers = {}, body = '' }) => {
  const all = {
    Host: HOST,
    'X-Attempt-Id': id,
    'X-Deadline-Remaining': '5000',
    Authorization: `Token ${KEY}`,
    ...headers,
    'Content-Length': String(Buffer.byteLength(body)),
  };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
  return `${method} ${target} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n`;
};

const HEAD_END = '\r\n\r\n';

/** The head of a message; undefined while it isn't whole. */
export const parseHead = (bytes) => {
  const end = bytes.indexOf(HEAD_END);
  if (end < 0) {
    return undefined;
  }
  const [first, ...lines] = bytes.toString('latin1', 0, end).split('\r\n');
  const headers = new Map(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  return { first, headers, bodyAt: end + HEAD_END.length };
};

/** The payload of a chunked body, and whether its last chunk is there. */
export const readChunks = (bytes) => {
  const parts = [];
  let at = 0;
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    if (lineEnd < 0) {
      return { body: Buffer.concat(parts), isComplete: false, end: at };
    }
    const size = Number.parseInt(bytes.toString('latin1', at, lineEnd), 16);
    const dataAt = lineEnd + 2;
    if (size === 0) {
      return {
        body: Buffer.concat(parts),
        isComplete: bytes.length >= dataAt + 2,
        end: dataAt + 2,
      };
    }
    if (!(size > 0) || bytes.length < dataAt + size + 2) {
      parts.push(bytes.subarray(dataAt, dataAt + size));
      return { body: Buffer.concat(parts), isComplete: false, end: bytes.length };
    }
    parts.push(bytes.subarray(dataAt, dataAt + size));
    at = dataAt + size + 2;
  }
};

/** What a caller has of an answer: its status, its body, and whether it looks complete. */
export const readAnswer = (bytes, hasEnded) => {
  const head = parseHead(bytes);
  if (head === undefined) {
    return { status: 0, headers: new Map(), body: Buffer.alloc(0), isComplete: false };
  }
  const status = Number(head.first.split(' ')[1]);
  const rest = bytes.subarray(head.bodyAt);
  const length = head.headers.get('content-length');
  if (length !== undefined) {
    const body = rest.subarray(0, Number(length));
    return { status, headers: head.headers, body, isComplete: body.length === Number(length) };
  }
  if (head.headers.get('transfer-encoding') === 'chunked') {
    const { body, isComplete } = readChunks(rest);
    return { status, headers: head.headers, body, isComplete };
  }
  return { status, headers: head.headers, body: rest, isComplete: hasEnded };
};

/** Sends bytes on a new connection and reads until the answer is complete or the connection ends. */
export const sendRequest = ({ host, port, head, body = '', waitMs }) =>
  new Promise((resolve) => {
    const startedAtMs = performance.now();
    const socket = connect({ host, port });
    const chunks = [];
    let error;
    let hasEnded = false;
    let timer;
    const finish = () => {
      clearTimeout(timer);
      socket.destroy();
      const answer = readAnswer(Buffer.concat(chunks), hasEnded && error === undefined);
      resolve({ ...answer, error, hasEnded, tookMs: Math.round(performance.now() - startedAtMs) });
    };
    timer = setTimeout(() => {
      error = 'no complete answer in time';
      finish();
    }, waitMs);
    socket.on('connect', () =>
      socket.write(Buffer.concat([Buffer.from(head, 'latin1'), Buffer.from(body)])),
    );
    socket.on('data', (bytes) => {
      chunks.push(bytes);
      if (readAnswer(Buffer.concat(chunks), false).isComplete) {
        finish();
      }
    });
    socket.on('error', (cause) => {
      error = cause.code;
    });
    socket.on('end', () => {
      hasEnded = true;
    });
    socket.on('close', finish);
  });
