/** A light open-loop load of short chat requests, the same for each daemon. */
import type { RunningDaemon } from '@snipehaven/demo';
import { request } from 'undici';
import { LOAD_PER_DAEMON_PER_SECOND, MS_PER_SECOND, TEAM_KEY, VERSION } from './constants.js';
import { wait } from './wait.js';

export interface LoadCounts {
  readonly requests: number;
  readonly failures: number;
}

/** Sends one request; tells whether it was answered. */
const sendRequest = async ({ callersUrl }: RunningDaemon, name: string): Promise<boolean> => {
  try {
    const answer = await request(`${callersUrl}/v1/chat/completions`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', authorization: `Bearer ${TEAM_KEY}` },
      body: JSON.stringify({
        model: VERSION,
        max_tokens: 4,
        messages: [{ role: 'user', content: `Tag this report, please. Number ${name}.` }],
      }),
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
};

/** Loads all daemons for `durationMs`, out of step with each other. */
export const runSteadyLoad = async (
  daemons: readonly RunningDaemon[],
  durationMs: number,
): Promise<LoadCounts> => {
  const intervalMs = MS_PER_SECOND / LOAD_PER_DAEMON_PER_SECOND;
  const turns = Math.floor(durationMs / intervalMs);
  const sendAll = async (daemon: RunningDaemon, place: number): Promise<readonly boolean[]> => {
    await wait((place / daemons.length) * intervalMs);
    const sending: Promise<boolean>[] = [];
    for (let turn = 0; turn < turns; turn += 1) {
      sending.push(sendRequest(daemon, `${daemon.vm.name}-${turn}`));
      await wait(intervalMs);
    }
    return Promise.all(sending);
  };
  const answered = (await Promise.all(daemons.map(sendAll))).flat();
  return {
    requests: answered.length,
    failures: answered.filter((isAnswered) => !isAnswered).length,
  };
};
