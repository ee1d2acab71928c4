/**
 * Loaded into a daemon's process before its own code (`node --import`): connections to the addresses of
 * a table go to forwarders instead, so that the daemon's network can be cut and fall silent. The table
 * stands in {@link REDIRECTS_VARIABLE} as JSON, `ip:port` to `ip:port`. The daemon's code is as shipped.
 */
import { Socket } from 'node:net';
import { REDIRECTS_VARIABLE } from '../constants.js';

interface ConnectOptions {
  host?: string;
  port?: number | string;
}

const redirects = JSON.parse(process.env[REDIRECTS_VARIABLE] ?? '{}') as Record<string, string>;

const redirect = (options: ConnectOptions): void => {
  const forwarder = redirects[`${options.host}:${options.port}`];
  if (forwarder !== undefined) {
    const { hostname, port } = new URL(`http://${forwarder}`);
    Object.assign(options, { host: hostname, port: Number(port) });
  }
};

const connect: (this: Socket, ...args: never) => Socket = Socket.prototype.connect;

/** `net.connect` hands its arguments on as one list, whose first item is the options. */
function connectRedirected(this: Socket, ...args: unknown[]): Socket {
  const options: unknown = Array.isArray(args[0]) ? args[0][0] : args[0];
  if (typeof options === 'object' && options !== null) {
    redirect(options);
  }
  return connect.apply(this, args as never);
}

Socket.prototype.connect = connectRedirected;
