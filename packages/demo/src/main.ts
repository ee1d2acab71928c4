/** `npm run demo -- [--seed N] [--requests N] [--keep]`. */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { demoSecrets } from './daemonSettings.js';
import { DemoRun, type DemoVerdict } from './demoRun.js';
import { sampleCandidate } from './sampleRollout.js';
import type { Verdict } from './workload/oracle.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    requests: { type: 'string', default: '360' },
    keep: { type: 'boolean', default: false },
    folder: { type: 'string' },
  },
});

const say = (line: string): void => console.log(line);

const isKept = (verdict: Verdict): boolean =>
  verdict.lost +
    verdict.doubled +
    verdict.ranTwice +
    verdict.misbilled +
    verdict.falseNotRun +
    verdict.wrongVersion +
    verdict.afterWithdrawal ===
  0;

const sayVerdict = (verdict: DemoVerdict): void => {
  const { examples, ...figures } = verdict;
  examples.forEach((example) => say(`BROKEN ${example}`));
  say(
    `${figures.answered} of ${figures.requests} requests answered, ` +
      `${figures.refusedNotRun + figures.refusedOther} refused with a reason; ` +
      `cost ${(figures.costVsDearest * 100).toFixed(1)} % of the dearest version's, ` +
      `p50 ${figures.p50Ms} ms, p95 ${figures.p95Ms} ms`,
  );
  say(
    `roll-out of ${sampleCandidate.version}: ${figures.rolloutPhase}; callers got ` +
      `${figures.exposed} of its answers, ${figures.shadowed} were rated in the shadow`,
  );
  say(isKept(verdict) ? 'every promise held' : 'A PROMISE BROKE');
  say(JSON.stringify(figures));
};

const keepUp = async (demo: DemoRun): Promise<void> => {
  say('kept up; end with Ctrl-C');
  demo.deployment.daemons.forEach((daemon) => {
    say(`${daemon.vm.name}: callers ${daemon.callersUrl}/v1, operators ${daemon.operatorsUrl}`);
  });
  say('team keys: studio-north-key, studio-south-key, district-key, ranch-key');
  say(`export SNIPECTL_URL=${demo.deployment.daemons.map((d) => d.operatorsUrl).join(',')}`);
  say(`export SNIPECTL_TOKEN=${demoSecrets.operatorToken}`);
  await new Promise<void>((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
};

const folder = values.folder ?? mkdtempSync(join(tmpdir(), 'snipehaven-demo-'));
const demo = new DemoRun({
  seed: Number(values.seed),
  requests: Number(values.requests),
  folder,
  say,
});
try {
  await demo.start();
  if (values.keep) {
    await keepUp(demo);
  } else {
    const verdict = await demo.run();
    sayVerdict(verdict);
    process.exitCode = isKept(verdict) ? 0 : 1;
  }
} finally {
  await demo.deployment.stop();
}
