/**
 * Loaded by a daemon's start file: SIGWINCH cuts the daemon off from all upstreams, each time in the next
 * way, and SIGURG ends the cut. The store and the other daemons stay in reach.
 */
import { readFileSync } from 'node:fs';
import { Socket } from 'node:net';

/** Upstreams listen there, and the store, behind a forwarder; VMs have addresses of their own. */
const UPSTREAM_HOST = '127.0.0.1';

const SETTINGS_VARIABLE = 'SNIPEHAVEN_SETTINGS';

type Cut = 'silent' | 'reset' | 'refuseNew';

const CUTS: readonly Cut[] = ['silent', 'reset', 'refuseNew'];

interface Handle {
  readStop(): void;
  readStart(): number;
}

const isStoreAddress = (address: string): boolean =>
  readFileSync(process.env[SETTINGS_VARIABLE] ?? '', 'utf8').includes(`"${address}"`);

const sockets = new Set<Socket>();
let cuts = 0;
let present: Cut | undefined;

const createError = (syscall: string, code: string): Error =>
  Object.assign(new Error(`${syscall} ${code}`), { syscall, code });

/** Nothing is read or written any more, without an error. */
const silence = (socket: Socket): void => {
  const { _handle: handle } = socket as unknown as { readonly _handle: Handle | null };
  handle?.readStop();
  Object.assign(handle ?? {}, { readStart: () => 0 });
  const drop = (_chunk: unknown, _encoding: unknown, callback: () => void): void => callback();
  Object.assign(socket, { _write: drop, _writev: null });
};

const strike: Readonly<Record<Cut, (socket: Socket) => void>> = {
  silent: silence,
  reset: (socket) => socket.destroy(createError('read', 'ECONNRESET')),
  refuseNew: () => {},
};

const refuse = (socket: Socket): void => {
  process.nextTick(() => socket.destroy(createError('connect', 'ECONNREFUSED')));
};

const connectDuring: Readonly<Record<Cut, (socket: Socket) => void>> = {
  silent: () => {},
  reset: refuse,
  refuseNew: refuse,
};

const { connect } = Socket.prototype;

interface Target {
  readonly host?: string;
  readonly port?: number;
}

/** `net.connect` passes its normalized arguments: an array that begins with the options. */
const readTarget = ([first]: readonly unknown[]): Target =>
  ((Array.isArray(first) ? first[0] : first) ?? {}) as Target;

Socket.prototype.connect = function connectUnlessCut(this: Socket, ...args: unknown[]) {
  const { host, port } = readTarget(args);
  if (host !== UPSTREAM_HOST || isStoreAddress(`${host}:${port}`)) {
    return connect.apply(this, args as never);
  }
  if (present !== undefined) {
    connectDuring[present](this);
    return this;
  }
  sockets.add(this);
  this.once('close', () => sockets.delete(this));
  return connect.apply(this, args as never);
};

process.on('SIGWINCH', () => {
  present = CUTS[cuts % CUTS.length];
  cuts += 1;
  if (present !== undefined) {
    sockets.forEach(strike[present]);
  }
});

process.on('SIGURG', () => {
  present = undefined;
});
