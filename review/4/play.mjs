/** CONFIG: one answer that is no response stops the whole daemon for seconds. */
import {
  RawUpstream,
  buildConfiguration,
  hasTrouble,
  renderAnswerHead,
  runCase,
  sleep,
} from '../standins/standins.mjs';

const TIMEOUT_MS = 1_000;
/** The rule asks for an answer so long after the route's timeout. */
const SLACK_MS = 500;
const RUN_MS = 40;
const CALLS_PER_S = 20;
const PLAY_S = 16;
const GARBLED_AT_S = 5;

await runCase(process.argv[2], async (world) => {
  let isGarbleDue = false;
  let garbledBy;
  const counts = { answers: 0, garbled: 0 };
  const createWorker = (name) =>
    new RawUpstream(async (request, socket) => {
      await sleep(RUN_MS);
      counts.answers += 1;
      if (isGarbleDue) {
        isGarbleDue = false;
        counts.garbled += 1;
        garbledBy = request.id;
        world.note(`${name} answers ${request.id} with bytes that are no response`);
        socket.write('HTTP/1.1 000 \r\n\r\n');
        return;
      }
      const head = renderAnswerHead(request, 200, {
        'X-Response-Signature': `signed-by-${name}`,
        'Content-Length': '2',
      });
      socket.write(`${head}ok`);
    });
  await world.start(
    buildConfiguration([
      {
        name: 'read',
        'path-prefix': '/read/',
        kind: 'non_idempotent',
        'timeout-ms': TIMEOUT_MS,
        'target-latency-ms': 200,
        'max-attempts': 1,
        service: 'plain',
      },
    ]),
  );
  for (const name of ['w1', 'w2', 'w3']) {
    await world.addUpstream(createWorker(name), { id: name, service: 'plain' });
  }
  await world.startDaemons(2);
  const calls = [];
  for (let index = 0; index < PLAY_S * CALLS_PER_S; index += 1) {
    if (hasTrouble && index === GARBLED_AT_S * CALLS_PER_S) {
      isGarbleDue = true;
    }
    const id = `attempt-${index}`;
    const headers = { 'X-Deadline-Remaining': String(TIMEOUT_MS) };
    const sent = { target: `/read/${id}`, id, headers, waitMs: 12_000 };
    calls.push(
      world.call(index % 2, sent).then((answer) => {
        world.note(
          `caller ${id} at front-${(index % 2) + 1}: status ${answer.status}, complete ${answer.isComplete}, ` +
            `after ${answer.tookMs} ms`,
        );
        return { ...answer, id };
      }),
    );
    await sleep(1_000 / CALLS_PER_S);
  }
  const answers = await Promise.all(calls);
  const unanswered = answers.filter(({ tookMs, status }) => status === 0 || tookMs > TIMEOUT_MS);
  const late = unanswered.filter(
    ({ tookMs, status }) => status === 0 || tookMs > TIMEOUT_MS + SLACK_MS,
  );
  const slowestMs = Math.max(...answers.map(({ tookMs }) => tookMs));
  world.note(
    `${answers.length} requests, ${counts.garbled} of ${counts.answers} answers garbled (${garbledBy}); ` +
      `unanswered at ${TIMEOUT_MS} ms: ${unanswered.length}, of these without an answer ${SLACK_MS} ms later: ` +
      `${late.length}; slowest ${slowestMs} ms`,
  );
  return late.length > unanswered.length / 2;
});
