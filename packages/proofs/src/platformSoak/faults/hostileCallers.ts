/** Callers that keep no limits: crowds that send more than they may, and read nothing. */
import { pickRandom, sleep, type Random } from '@snipehaven/common';
import {
  HostileCrowd,
  sendOnce,
  sendRepeated,
  VALID_HEADERS,
  type ClientScript,
} from '@snipehaven/standins';
import { Fleet } from '../fleet.js';
import { pickVm, type Fault } from '../world.js';

const MAX_CLIENTS = 48;
const MIN_HELD_MS = 300;
const HELD_SPREAD_MS = 1_500;
const MEBIBYTE = 1_048_576;

const CHUNKED = `POST /read/a HTTP/1.1\r\n${VALID_HEADERS}Transfer-Encoding: chunked\r\n\r\n`;
const GET = `GET /read/a HTTP/1.1\r\n${VALID_HEADERS}\r\n`;

const scripts: readonly ClientScript[] = [
  sendRepeated(CHUNKED, `10000\r\n${'x'.repeat(65_536)}\r\n`, 8 * MEBIBYTE),
  sendRepeated(CHUNKED, '1\r\nx\r\n', MEBIBYTE),
  sendRepeated(`${CHUNKED}0\r\n`, 'a: b\r\n', MEBIBYTE),
  sendRepeated(`POST /read/a HTTP/1.1\r\n${VALID_HEADERS}Content-Length: 9999\r\n\r\n`, 'x', 9_998),
  sendRepeated('GET /read/a HTTP/1.1\r\n', 'ab: cd\r\n', MEBIBYTE),
  sendRepeated('', 'GET / HTTP/1.1\r\n\r\n', MEBIBYTE),
  sendRepeated('', GET, MEBIBYTE),
  sendOnce('GET /read/a HTTP/1.1\r\nHost: a'),
];

/** They go on using their connections also when the VM's process leaves or ends meanwhile. */
export const hostileCallers: Fault = async (world, random: Random) => {
  const vm = pickVm(world, random);
  await world.faultLog.during(vm.name, 'hostileCallers', async () => {
    const crowd = new HostileCrowd(Fleet.getCallerAddress(vm));
    crowd.join(1 + random.nextInt(MAX_CLIENTS), pickRandom(scripts, random) as ClientScript);
    await sleep(MIN_HELD_MS + random.nextInt(HELD_SPREAD_MS));
    crowd.close();
  });
};
