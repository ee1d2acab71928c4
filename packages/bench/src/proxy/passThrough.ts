/** A bare pass-through of the same libraries, as a process: `node passThrough.js ADDRESS PORT URL...`. */
import { createServer } from 'node:http';
import { Pool } from 'undici';

const [address = '127.0.0.1', port = '0', ...urls] = process.argv.slice(2);
const pools = urls.map((url) => new Pool(url, { connections: 256 }));
let next = 0;

const server = createServer((request, response) => {
  next += 1;
  const pool = pools[next % pools.length] as Pool;
  pool
    .stream(
      {
        method: 'POST',
        path: request.url ?? '/',
        headers: {
          'content-type': 'application/json',
          'x-stream-id': `pass-${process.pid}-${next}`,
        },
        body: request,
      },
      ({ statusCode, headers }) =>
        response.writeHead(statusCode, headers as Record<string, string>),
    )
    .catch(() => response.destroy());
});
server.listen(Number(port), address, () => console.log('listening'));
