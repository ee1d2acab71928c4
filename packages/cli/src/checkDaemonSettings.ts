/** Checks settings of snipehavend by the daemon's own schema. */
import type { SettingsChecker } from './types.js';

/** The daemon's program is loaded only for this one command: loading it would slow all others. */
export const checkDaemonSettings: SettingsChecker = async (toml, fileName) => {
  const { restoreSettings, SettingsError } = await import('@snipehaven/daemon');
  try {
    restoreSettings(fileName, toml);
    return [];
  } catch (error) {
    if (error instanceof SettingsError) {
      return error.faults;
    }
    throw error;
  }
};
