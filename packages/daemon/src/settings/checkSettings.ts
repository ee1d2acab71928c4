/** Checks what the settings file only names: secrets and files. */
import { SettingsError } from './errors.js';
import { readSecret } from './readSettings.js';
import { readPeerTlsFiles, readTlsFiles } from './readTlsFiles.js';
import type { SecretSource, Settings } from './settingsSchema.js';

const MIN_SESSION_KEY_BYTES = 16;

const listSecrets = ({
  peers,
  sessions,
}: Settings): readonly (readonly [string, SecretSource | undefined, number])[] => [
  ['peers.secret', peers.secret, 1],
  ['peers.previousSecret', peers.previousSecret, 1],
  ['sessions.key', sessions.key, MIN_SESSION_KEY_BYTES],
  ['sessions.previousKey', sessions.previousKey, MIN_SESSION_KEY_BYTES],
];

const checkSecret = (
  field: string,
  source: SecretSource,
  minBytes: number,
  environment: NodeJS.ProcessEnv,
): void => {
  const sizeBytes = Buffer.byteLength(readSecret(field, source, environment));
  if (sizeBytes < minBytes) {
    throw new SettingsError([`${field}: expected at least ${minBytes} bytes, got ${sizeBytes}`]);
  }
};

const listChecks = (
  settings: Settings,
  environment: NodeJS.ProcessEnv,
): readonly (() => unknown)[] => [
  ...listSecrets(settings).map(
    ([field, source, minBytes]) =>
      () =>
        source && checkSecret(field, source, minBytes, environment),
  ),
  ...Object.entries(settings.listen).map(
    ([slot, { tls }]) =>
      () =>
        tls && readTlsFiles(`listen.${slot}.tls`, tls),
  ),
  () => settings.peers.tls && readPeerTlsFiles('peers.tls', settings.peers.tls),
];

const findFaults = (check: () => unknown): readonly string[] => {
  try {
    check();
    return [];
  } catch (error) {
    if (error instanceof SettingsError) {
      return error.faults;
    }
    throw error;
  }
};

/** Throws `SettingsError` with all faults at once. */
export const checkSettings = (settings: Settings, environment: NodeJS.ProcessEnv): void => {
  const faults = listChecks(settings, environment).flatMap(findFaults);
  if (faults.length > 0) {
    throw new SettingsError(faults);
  }
};
