/** In place of the runtime's HTTP/2, which undici loads and upstreams do not speak. */
module.exports = { constants: {} };
