/** `snipectl rollout status`, `pause` and `resume`. */
import { Command, Option } from 'clipanion';
import type { OperatorApi } from '../api/operatorApi.js';
import type { ApplyReply, RolloutStatus } from '../api/schemas.js';
import { REDRAW_MS } from '../constants.js';
import { ApiCallError } from '../errors.js';
import { exitCodes, type ExitCode } from '../exitCodes.js';
import { formatApply } from '../output/formatResources.js';
import { formatRollouts } from '../output/formatStatus.js';
import { redraw } from '../output/redraw.js';
import { SnipectlCommand } from './snipectlCommand.js';

const KIND = 'Rollout';
const NOT_FOUND_STATUS = 404;
const CONFLICT_STATUS = 409;
const MAX_TRIES = 4;

const endedPhases: ReadonlySet<string> = new Set(['finished', 'quarantined']);

export class RolloutStatusCommand extends SnipectlCommand {
  static override paths = [['rollout', 'status']];

  static override usage = Command.Usage({
    category: 'Roll-outs',
    description: 'Show how far roll-outs have come, and what they expose.',
    examples: [['Redraw until it has ended', '$0 rollout status small-4 --follow']],
  });

  rolloutName = Option.String({ required: false });

  isFollowing = Option.Boolean('--follow', false, { description: 'Redraw until all have ended.' });

  protected async act(): Promise<ExitCode> {
    await this.withApi((api) =>
      redraw(() => this.draw(api), {
        output: this.context.stdout,
        isTerminal: this.isTerminal && this.isFollowing,
        intervalMs: REDRAW_MS,
        count: this.isFollowing ? Infinity : 1,
      }),
    );
    return exitCodes.ok;
  }

  private async draw(api: OperatorApi) {
    const rollouts = this.pick((await api.listRollouts()).rollouts);
    const text = this.isJson ? `${JSON.stringify({ rollouts })}\n` : formatRollouts(rollouts);
    return { text, isDone: rollouts.every(({ phase }) => endedPhases.has(phase)) };
  }

  private pick(rollouts: readonly RolloutStatus[]): readonly RolloutStatus[] {
    const picked = rollouts.filter(
      ({ name }) => this.rolloutName === undefined || name === this.rolloutName,
    );
    if (this.rolloutName !== undefined && picked.length === 0) {
      const message = `no roll-out ${this.rolloutName} is under way`;
      throw new ApiCallError(NOT_FOUND_STATUS, { code: 'not_found', message });
    }
    return picked;
  }
}

/** Sets one field of what is present now; another operator's change in between is read again. */
const setPaused = async (
  api: OperatorApi,
  name: string,
  isPaused: boolean,
  triesLeft = MAX_TRIES,
): Promise<ApplyReply> => {
  const { metadata, spec } = await api.getResource(KIND, name);
  const { resourceVersion } = metadata;
  const manifest = { kind: KIND, name, resourceVersion, spec: { ...spec, isPaused } };
  try {
    return await api.applyResource(manifest, false);
  } catch (error) {
    const isRace = error instanceof ApiCallError && error.status === CONFLICT_STATUS;
    if (!isRace || triesLeft <= 1) {
      throw error;
    }
    return setPaused(api, name, isPaused, triesLeft - 1);
  }
};

abstract class PauseCommand extends SnipectlCommand {
  rolloutName = Option.String();

  protected abstract readonly isPaused: boolean;

  protected async act(): Promise<ExitCode> {
    const reply = await this.withApi((api) => setPaused(api, this.rolloutName, this.isPaused));
    this.show(reply, () => formatApply(reply));
    return exitCodes.ok;
  }
}

export class RolloutPauseCommand extends PauseCommand {
  static override paths = [['rollout', 'pause']];

  static override usage = Command.Usage({
    category: 'Roll-outs',
    description: 'Pause a roll-out: its share is not raised.',
    examples: [['Pause', '$0 rollout pause small-4']],
  });

  protected readonly isPaused = true;
}

export class RolloutResumeCommand extends PauseCommand {
  static override paths = [['rollout', 'resume']];

  static override usage = Command.Usage({
    category: 'Roll-outs',
    description: 'Resume a paused roll-out.',
    examples: [['Resume', '$0 rollout resume small-4']],
  });

  protected readonly isPaused = false;
}
