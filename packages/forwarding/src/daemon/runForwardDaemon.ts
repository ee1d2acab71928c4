/** Runs the forward daemon as a process and handles the platform's signals. */
import type { Logger } from '@snipehaven/common';
import type { CallerListener } from '../edge/index.js';
import { ForwardDaemon } from './forwardDaemon.js';
import type { PlatformAdapter } from './types.js';

/** Time-out for flushing the log; less than what is left of the grace period. */
const LOG_FLUSH_TIMEOUT_MS = 250;

/**
 * `listener`: already listens for callers in this process. If the daemon can't start, nothing of it is
 * left open that would keep the process running.
 */
export const runForwardDaemon = async (
  adapter: PlatformAdapter,
  logger: Logger,
  listener?: CallerListener,
): Promise<void> => {
  const daemon = new ForwardDaemon(adapter, logger, { listener });
  process.on('SIGHUP', () => daemon.reload('SIGHUP'));
  process.on('SIGTERM', () => {
    daemon
      .leave()
      .catch((error: unknown) => logger.error({ event: 'leaveFailed', error }))
      .finally(() => {
        // If the reader of the log has stopped reading, flushing and thus the process would never
        // end.
        setTimeout(() => process.exit(0), LOG_FLUSH_TIMEOUT_MS);
        logger.flush(() => process.exit(0));
      });
  });
  try {
    await daemon.start();
  } catch (error) {
    daemon.stop();
    throw error;
  }
};
