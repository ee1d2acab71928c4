/** What the commands run in. */
import type { BaseContext } from 'clipanion';

/** Checks a daemon's settings file; the daemon package brings the schema. */
export type SettingsChecker = (toml: string, fileName: string) => readonly string[];

/** Context of all commands: streams and environment, replaced in tests. */
export type SnipectlContext = BaseContext & {
  /** Absent where this build has no daemon settings to check by. */
  readonly checkSettings?: SettingsChecker;
};
