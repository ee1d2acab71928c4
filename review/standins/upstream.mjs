/** An upstream that may misbehave below HTTP. */
import { createServer } from 'node:net';
import { parseHead } from './http.mjs';

/** An upstream below HTTP: `behave(request, socket)` is called for each whole request. */
export class RawUpstream {
  #behave;

  #server;

  #sockets = new Set();

  constructor(behave) {
    this.#behave = behave;
    this.#server = createServer((socket) => this.#serve(socket));
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  start(port = 0) {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, '127.0.0.1', resolve);
    });
  }

  /** As when its process is killed: every connection is reset, and the port refuses new ones. */
  crash() {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  stop() {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #serve(socket) {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('close', () => this.#sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    let received = Buffer.alloc(0);
    socket.on('data', (bytes) => {
      received = Buffer.concat([received, bytes]);
      for (;;) {
        const head = parseHead(received);
        const length = Number(head?.headers.get('content-length') ?? 0);
        if (head === undefined || received.length < head.bodyAt + length) {
          return;
        }
        const [method, target] = head.first.split(' ');
        const body = received.subarray(head.bodyAt, head.bodyAt + length);
        received = received.subarray(head.bodyAt + length);
        const id = head.headers.get('x-attempt-id') ?? '';
        this.#behave({ method, target, id, headers: head.headers, body }, socket);
      }
    });
  }
}

/** The head of a worker's answer. */
export const renderAnswerHead = ({ id }, status, headers) => {
  const all = { 'X-Attempt-Id': id, ...headers };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
  return `HTTP/1.1 ${status} Status\r\n${lines.join('\r\n')}\r\n\r\n`;
};
