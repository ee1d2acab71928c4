/** Structured logs: JSON lines by `pino`, secrets redacted. */
import { pino, type DestinationStream, type Logger } from 'pino';

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

/** Creates the root logger of a process; every line carries the bindings. Standard output by default. */
export const createLogger = (
  level: LogLevel,
  bindings: Record<string, string>,
  destination: DestinationStream = pino.destination(1),
): Logger =>
  pino(
    {
      level,
      base: bindings,
      timestamp: () => `,"timeMs":${Date.now()}`,
      redact: { paths: SECRET_PATHS, censor: '[redacted]' },
    },
    destination,
  );

/** A logger that writes nothing; for tests. */
export const createSilentLogger = (): Logger => pino({ level: 'silent' });
