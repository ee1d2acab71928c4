/** Runs the daemon as a process, until a signal ends it. */
import { once } from 'node:events';
import type { Logger } from '@snipehaven/common';
import { Daemon } from './daemon.js';
import type { ShutdownReport } from './daemonCore.js';
import type { Settings } from './settings/index.js';

const EXIT_OK = 0;
const EXIT_UNFINISHED = 1;

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

const hearStopSignal = (): Promise<string> =>
  Promise.race(STOP_SIGNALS.map((signal) => once(process, signal).then(() => signal)));

/** Serves until the stop is asked for, also where that was during the start. */
const serve = async (
  daemon: Daemon,
  logger: Logger,
  stopSignal: Promise<string>,
): Promise<ShutdownReport> => {
  const addresses = await daemon.start();
  logger.info({ addresses }, 'listening');
  logger.info({ signal: await stopSignal }, 'shutting down');
  return daemon.stop();
};

/** Resolves with the exit code. */
export const runDaemon = async (settings: Settings, logger: Logger): Promise<number> => {
  const stopSignal = hearStopSignal();
  const forced = stopSignal.then(hearStopSignal).then(() => undefined);
  process.on('SIGHUP', () => {
    logger.warn('SIGHUP has no effect: the settings are read at the start only');
  });
  const daemon = new Daemon(settings, logger, process.env);
  const report = await Promise.race([serve(daemon, logger, stopSignal), forced]);
  if (report === undefined) {
    logger.warn('a second signal ended the shutdown; requests may be cut off');
    return EXIT_UNFINISHED;
  }
  logger.info(report, 'stopped');
  const left = report.unfinishedRequests + report.unflushedRecords + report.unwrittenAnswers;
  return left === 0 ? EXIT_OK : EXIT_UNFINISHED;
};
