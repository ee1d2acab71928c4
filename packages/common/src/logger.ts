/** Structured logs: JSON lines by `pino`, secrets redacted. */
import { pino, type DestinationStream, type Logger, type LoggerOptions } from 'pino';
import { LineBudget } from './lineBudget.js';

export type { Logger } from 'pino';

export type LogLevel = 'fatal' | 'error' | 'warn' | 'info' | 'debug' | 'trace' | 'silent';

const SECRET_PATHS = [
  'headers.authorization',
  '*.authorization',
  '*.secret',
  '*.token',
  '*.key',
  '*.apiKey',
];

const buildOptions = (level: LogLevel, bindings: Record<string, string>): LoggerOptions => ({
  level,
  base: bindings,
  timestamp: () => `,"timeMs":${Date.now()}`,
  redact: { paths: SECRET_PATHS, censor: '[redacted]' },
});

/** Creates the root logger of a process; every line carries the bindings. Standard output by default. */
export const createLogger = (
  level: LogLevel,
  bindings: Record<string, string>,
  destination: DestinationStream = pino.destination(1),
): Logger => pino(buildOptions(level, bindings), destination);

/** Bytes of lines held while nobody reads them; beyond, the newest are dropped. */
const MAX_HELD_BYTES = 1_048_576;
const MIN_WRITE_BYTES = 4_096;
const FLUSH_MS = 400;

/**
 * A descriptor, such as standard output, that is written without blocking: lines are gathered and written in
 * the background. A reader that stops reading costs lines, not requests; so does a write that fails, which is
 * told on standard error and would else end the process.
 */
export const createBackgroundDestination = (fd: number): ReturnType<typeof pino.destination> => {
  const destination = pino.destination({
    dest: fd,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_HELD_BYTES,
    periodicFlush: FLUSH_MS,
  });
  destination.on('error', (error: Error) => {
    console.error(`log lines were lost: ${error.message}`);
  });
  return destination;
};

const getKind = (args: readonly unknown[]): string => {
  const [fields] = args;
  const isNamed = typeof fields === 'object' && fields !== null && 'event' in fields;
  return isNamed ? String(fields.event) : 'other';
};

/** A logger for a line for each decision: bounded by kind and second, see `LineBudget`. */
export const createDecisionLogger = (
  bindings: Record<string, string>,
  destination: DestinationStream = createBackgroundDestination(1),
): Logger => {
  const budget = new LineBudget();
  return pino(
    {
      ...buildOptions('info', bindings),
      hooks: {
        logMethod(args, method) {
          const nowMs = performance.now();
          const leftOut = budget.takeLeftOut(nowMs);
          if (leftOut !== undefined) {
            method.apply(this, [{ event: 'linesLeftOut', leftOut }]);
          }
          if (budget.take(getKind(args), nowMs)) {
            method.apply(this, args);
          }
        },
      },
    },
    destination,
  );
};

/** A logger that writes nothing; for tests. */
export const createSilentLogger = (): Logger => pino({ level: 'silent' });
