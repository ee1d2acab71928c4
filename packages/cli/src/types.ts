/** What the commands run in. */
import type { BaseContext } from 'clipanion';

/** The faults of a daemon's settings file, each naming file, field and rule. */
export type SettingsChecker = (toml: string, fileName: string) => Promise<readonly string[]>;

/** Context of all commands: streams and environment, replaced in tests. */
export type SnipectlContext = BaseContext & {
  readonly checkSettings: SettingsChecker;
};
