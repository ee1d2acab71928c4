/** Reads what a daemon reports of its configuration. */
import { callOperatorApi, type RunningDaemon } from '@snipehaven/demo';
import { STATUS_TIMEOUT_MS } from '../constants.js';

export interface ReportedMove {
  readonly move: {
    readonly key: string;
    readonly generation: number;
    readonly isActive: boolean;
  };
}

export interface DaemonStatus {
  readonly revision: number;
  readonly hasConfiguration: boolean;
  readonly safeMoves: readonly ReportedMove[];
}

/** The daemon's status; undefined while it does not answer. */
export const readStatus = async (daemon: RunningDaemon): Promise<DaemonStatus | undefined> => {
  const answer = await callOperatorApi(
    daemon.operatorsUrl,
    'GET',
    '/api/status',
    undefined,
    STATUS_TIMEOUT_MS,
  ).catch(() => undefined);
  return answer?.status === 200 ? (answer.body as DaemonStatus) : undefined;
};
