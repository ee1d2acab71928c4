/** `snipectl describe`: everything about one resource or one request. */
import { Command, Option } from 'clipanion';
import { formatEventsAsText, type TimelineEvent } from '@snipehaven/timeline';
import type { OperatorApi } from '../api/operatorApi.js';
import type { RequestReply } from '../api/schemas.js';
import { exitCodes, type ExitCode } from '../exitCodes.js';
import { describeResource } from '../output/formatResources.js';
import { formatRequest } from '../output/formatStatus.js';
import { SnipectlCommand } from './snipectlCommand.js';

const REQUEST_SUBJECT = 'request';

const formatWithEvents = (request: RequestReply): string => {
  const events = formatEventsAsText(request.events as readonly TimelineEvent[]);
  return `${formatRequest(request)}\n${events}`;
};

export class DescribeCommand extends SnipectlCommand {
  static override paths = [['describe']];

  static override usage = Command.Usage({
    category: 'Resources',
    description: 'Show everything about a resource, or about a request.',
    examples: [
      ['A team', '$0 describe Team studio-north'],
      ['A request: plan, attempts, verdict, bill', '$0 describe request entry-1-8f3a'],
    ],
  });

  kind = Option.String();

  subject = Option.String();

  protected async act(): Promise<ExitCode> {
    await this.withApi((api) =>
      this.kind === REQUEST_SUBJECT ? this.describeRequest(api) : this.describeResource(api),
    );
    return exitCodes.ok;
  }

  private async describeResource(api: OperatorApi): Promise<void> {
    const resource = await api.getResource(this.kind, this.subject);
    this.show(resource, () => describeResource(resource));
  }

  private async describeRequest(api: OperatorApi): Promise<void> {
    const request = await api.getRequest(this.subject);
    if (request.unreachable.length > 0) {
      this.warn(`no answer from ${request.unreachable.join(', ')}: events may be missing`);
    }
    this.show(request, () => formatWithEvents(request));
  }
}
