/** Errors of the settings. */
import { SnipehavenError } from '@snipehaven/common';

/** The settings file or a secret it names is not as it must be. */
export class SettingsError extends SnipehavenError {
  readonly code = 'settings_invalid';

  /** One line for each fault: file, field, what was expected. */
  readonly faults: readonly string[];

  constructor(faults: readonly string[], options?: ErrorOptions) {
    super(faults.join('\n'), options);
    this.faults = faults;
  }
}
