/** Writes resources at a steady rate and measures how long each takes to be in force everywhere. */
import { callOperatorApi, type RunningDaemon } from '@snipehaven/demo';
import { CHURN_PER_SECOND, IN_FORCE_TIMEOUT_MS, MS_PER_SECOND } from './constants.js';
import { RevisionWatch } from './revisionWatch.js';
import { wait } from './wait.js';

interface SentChange {
  readonly sentAtMs: number;
  readonly revision: number;
}

export interface ChurnResult {
  readonly changes: number;
  readonly failures: number;
  /** From sending the write to the last daemon's application, for each change. */
  readonly inForceMs: readonly number[];
}

/** The part of the operator API's answer that is used here. */
interface ApplyAnswer {
  readonly resource: { readonly metadata: { readonly resourceVersion: number } };
}

const DESCRIPTION = 'A change of about the size that operators make. '.repeat(6);
const POLL_MS = 50;

let written = 0;

const sendChange = async (daemon: RunningDaemon): Promise<SentChange | undefined> => {
  written += 1;
  const name = `churn-${written}`;
  const sentAtMs = performance.now();
  const answer = await callOperatorApi(daemon.operatorsUrl, 'PUT', `/api/resources/Model/${name}`, {
    kind: 'Model',
    metadata: { name },
    spec: { description: DESCRIPTION },
  });
  if (answer.status >= 300) {
    return undefined;
  }
  const { resource } = answer.body as ApplyAnswer;
  return { sentAtMs, revision: resource.metadata.resourceVersion };
};

const waitForAll = async (watch: RevisionWatch, sent: readonly SentChange[]): Promise<void> => {
  const giveUpAtMs = performance.now() + IN_FORCE_TIMEOUT_MS;
  const isMissing = ({ revision }: SentChange): boolean =>
    watch.getInForceAtMs(revision) === undefined;
  while (sent.some(isMissing) && performance.now() < giveUpAtMs) {
    await wait(POLL_MS);
  }
};

/** Runs for `durationMs`, writing through the daemons in turn; a change not in force in time has failed. */
export const runChurn = async (
  daemons: readonly RunningDaemon[],
  durationMs: number,
): Promise<ChurnResult> => {
  const watch = new RevisionWatch(daemons);
  await watch.start();
  const count = Math.round((durationMs / MS_PER_SECOND) * CHURN_PER_SECOND);
  const sending: Promise<SentChange | undefined>[] = [];
  for (let turn = 0; turn < count; turn += 1) {
    sending.push(sendChange(daemons[turn % daemons.length] as RunningDaemon));
    await wait(MS_PER_SECOND / CHURN_PER_SECOND);
  }
  const sent = (await Promise.all(sending)).filter((change) => change !== undefined);
  await waitForAll(watch, sent);
  const inForceMs = sent.flatMap(({ sentAtMs, revision }) => {
    const atMs = watch.getInForceAtMs(revision);
    return atMs === undefined ? [] : [atMs - sentAtMs];
  });
  watch.stop();
  return { changes: count, failures: count - inForceMs.length, inForceMs };
};
