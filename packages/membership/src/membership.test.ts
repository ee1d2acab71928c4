import FakeTimers, { type Clock } from '@sinonjs/fake-timers';
import { setInvariantsFatal } from '@snipehaven/common';
import type { ListedVm } from '@snipehaven/platform';
import type { EventType, TimelineEvent } from '@snipehaven/timeline';
import type { Member } from '@snipehaven/protocol';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { RELAYS_PER_DATA_CENTRE } from './constants.js';
import {
  describeView,
  listAliveIncarnations,
  listEvents,
  LocalNetwork,
  type TestMember,
} from './testing/localNetwork.js';

setInvariantsFatal(true);

const START_MS = 1_700_000_000_000;
const SETTLE_MS = 10_000;
/**
 * Time in which a death is detected, suspected and declared in the small data centres of the tests.
 */
const DEATH_MS = 12_000;
/** Time in which a suspect of another data centre is declared dead everywhere. */
const REMOTE_DEATH_MS = 60_000;

interface Context {
  clock: Clock;
  network: LocalNetwork;
}

const test = suite<Context>('membership', {} as Context);

test.before.each((context) => {
  context.clock = FakeTimers.install({ now: START_MS });
  context.network = new LocalNetwork(11);
});

test.after.each(({ clock, network }) => {
  network.stopAll();
  clock.uninstall();
});

const expectAlive = (members: readonly TestMember[], names: readonly string[]): void => {
  const wanted = [...names].sort().join(' ');
  members.forEach((member) =>
    assert.is(listAliveIncarnations(member), wanted, `view of ${member.address}`),
  );
};

const countEvents = (network: LocalNetwork, type: 'memberSuspected' | 'memberDied'): number =>
  network.members.reduce((sum, member) => sum + listEvents(member, type).length, 0);

const namesOf = (members: readonly TestMember[]): readonly string[] =>
  members.map((member) => member.membership.self.incarnation);

/** Makes a member unreachable until `x0` suspects it. */
const isolateUntilSuspected = async (context: Context, vm: string): Promise<void> => {
  const { clock, network } = context;
  network.isCut = (from, to) => from === vm || to === vm;
  const isSuspected = (): boolean => listEvents(network.get('x0'), 'memberSuspected').length > 0;
  for (let step = 0; step < 100 && !isSuspected(); step += 1) {
    await clock.tickAsync(100);
  }
};

const isAbout =
  (incarnation: string) =>
  (event: TimelineEvent): boolean =>
    event.detail.member === incarnation;

test('members of three data centres learn of all others, and none is suspected', async (context) => {
  const { clock, network } = context;
  network.joinAll(['x', 'y', 'z'], 3);
  await clock.tickAsync(60_000);
  expectAlive(network.members, namesOf(network.members));
  assert.is(countEvents(network, 'memberSuspected'), 0);
  const relays = network.get('x0').membership.listRelays();
  assert.equal(relays.map((relay) => relay.dataCentre).sort(), ['y', 'z']);
});

test('a data centre agrees on the owner of a duty, and on the next when it dies', async (context) => {
  const { clock, network } = context;
  network.joinAll(['x', 'y'], 4);
  await clock.tickAsync(SETTLE_MS);
  const local = network.members.filter(({ membership }) => membership.self.dataCentre === 'x');
  const owners = new Set(local.map(({ membership }) => membership.getDutyOwner('load').vm));
  assert.is(owners.size, 1);
  const owner = network.get([...owners][0] as string);
  assert.ok(owner.membership.ownsDuty('load'));
  const second = owner.membership.rankLocal('load')[1]?.vm;
  network.halt(owner);
  await clock.tickAsync(DEATH_MS);
  local
    .filter((member) => member !== owner)
    .forEach(({ membership }) => assert.is(membership.getDutyOwner('load').vm, second));
});

test('a killed member is declared dead, and one that leaves is never suspected', async (context) => {
  // Guards against requests and duties going to a daemon that has ended. x1 is killed, and x2
  // leaves later with a notification. A killed process sends nothing, so only unanswered probes
  // reveal it.
  const { clock, network } = context;
  network.joinAll(['x', 'y'], 4);
  await clock.tickAsync(SETTLE_MS);
  const changes: string[] = [];
  network.get('x0').membership.onChange((member) => changes.push(`${member.vm}:${member.state}`));
  network.halt(network.get('x1'));
  await clock.tickAsync(DEATH_MS);
  const rest = network.members.filter((member) => member !== network.get('x1'));
  expectAlive(rest, namesOf(rest));
  assert.equal(changes, ['x1:suspect', 'x1:dead']);
  assert.not.ok(network.get('y0').membership.isIncarnationAlive('x1#1'));
  const left = network.get('x2').membership.leave();
  await clock.tickAsync(SETTLE_MS);
  await left;
  assert.equal(changes.slice(2), ['x2:left']);
  assert.is(network.get('y0').membership.getMember('x2#1')?.state, 'left');
});

test('a member that only one other member cannot reach is not suspected', async (context) => {
  // Guards against repeated suspicion of a healthy daemon. The path between x0 and x1 fails while
  // both can reach x2 and x3, and a failed probe may be caused by the prober's path as well as by
  // the member.
  const { clock, network } = context;
  network.joinAll(['x'], 4);
  await clock.tickAsync(SETTLE_MS);
  network.isCut = (from, to) => [from, to].sort().join() === 'x0,x1';
  await clock.tickAsync(60_000);
  assert.is(countEvents(network, 'memberSuspected'), 0);
});

test('a member refutes a false suspicion itself', async (context) => {
  // Guards against a healthy daemon losing its duties. x1 is partitioned for a moment, is
  // suspected, and returns before the suspicion expires. Without a refutation, the suspicion
  // expires although the member answers again.
  const { clock, network } = context;
  network.joinAll(['x'], 4);
  await clock.tickAsync(SETTLE_MS);
  await isolateUntilSuspected(context, 'x1');
  network.isCut = () => false;
  await clock.tickAsync(SETTLE_MS);
  expectAlive(network.members, namesOf(network.members));
  assert.is(listEvents(network.get('x0'), 'memberDied').length, 0);
  const seen = network.get('x0').membership.getMember('x1#1');
  assert.is(seen?.state, 'alive');
  assert.ok((seen?.refutation ?? 0) > 0);
});

test('a partitioned data centre rejoins, and none of its members is declared dead', async (context) => {
  // Guards against a healthy data centre that declares its own members dead and moves all duties
  // after a partition heals, and against partitions that never merge again. The only seed dies, y
  // is partitioned until each side considers the other dead, and then y receives the reports of its
  // death. Records of dead members supersede those of live ones, and dead members are not probed.
  const { clock, network } = context;
  network.joinAll(['x', 'y', 'z'], 3);
  await clock.tickAsync(SETTLE_MS);
  const seed = network.get('x0');
  network.halt(seed);
  network.cutOff('y');
  await clock.tickAsync(REMOTE_DEATH_MS);
  const inside = network.members.filter(({ membership }) => membership.self.dataCentre === 'y');
  const outside = network.members.filter((member) => member !== seed && !inside.includes(member));
  expectAlive(inside, namesOf(inside));
  expectAlive(outside, namesOf(outside));
  network.isCut = () => false;
  await clock.tickAsync(REMOTE_DEATH_MS);
  const live = [...inside, ...outside];
  expectAlive(live, namesOf(live));
  const suspicionsInside = inside
    .flatMap((member) =>
      ['memberSuspected', 'memberDied'].flatMap((type) => listEvents(member, type as EventType)),
    )
    .filter((event) => event.detail.memberDataCentre === 'y');
  assert.is(suspicionsInside.length, 0);
});

test('a partition between only two of three data centres leads to no suspicion', async (context) => {
  // Guards against x and y considering each other dead while z reaches both, when the path between
  // them fails for minutes and relays judge by their own path alone.
  const { clock, network } = context;
  network.joinAll(['x', 'y', 'z'], 3);
  await clock.tickAsync(SETTLE_MS);
  network.isCut = (from, to) => ['x,y', 'y,x'].includes(`${from[0]},${to[0]}`);
  await clock.tickAsync(180_000);
  expectAlive(network.members, namesOf(network.members));
  assert.is(countEvents(network, 'memberSuspected'), 0);
});

test('a new VM at the address of a dead one ends the old incarnation', async (context) => {
  // Guards against two live members at one address, so that records of the old incarnation are
  // never taken over. x1 is killed, and a new VM immediately starts at its address, which y knows
  // too and which answers the probes meant for the old process.
  const { clock, network } = context;
  network.joinAll(['x', 'y'], 3);
  await clock.tickAsync(SETTLE_MS);
  network.halt(network.get('x1'));
  network.join({ vm: 'x9', dataCentre: 'x', address: 'x1', incarnationNumber: 2, seeds: ['y0'] });
  await clock.tickAsync(SETTLE_MS);
  const live = network.members.filter((member) => member.membership.self.incarnation !== 'x1#1');
  expectAlive(live, namesOf(live));
});

test('outdated gossip does not revive dead members, which are eventually forgotten', async (context) => {
  // Guards against a daemon that died long ago and is considered alive again. x3 is frozen while x1
  // dies; x3 resumes and gossips that x1 is alive. Old records look like updates to members that
  // know nothing.
  const { clock, network } = context;
  network.joinAll(['x'], 4);
  await clock.tickAsync(SETTLE_MS);
  const [dead, frozen] = [network.get('x1'), network.get('x3')];
  network.halt(frozen);
  network.halt(dead);
  await clock.tickAsync(REMOTE_DEATH_MS);
  network.resume(frozen);
  await clock.tickAsync(DEATH_MS);
  const rest = network.members.filter((member) => member !== dead);
  expectAlive(rest, namesOf(rest));
  assert.is(listEvents(network.get('x0'), 'memberJoined').filter(isAbout('x1#1')).length, 1);
  await clock.tickAsync(3_600_000);
  rest.forEach((member) => assert.is(member.membership.getMember('x1#1'), undefined));
});

test('a member that was frozen rejoins under the same incarnation', async (context) => {
  // Guards against a running daemon that its peers consider dead for good. x1 is frozen until it is
  // declared dead and then resumes. Dead members are not probed, and a record of the death
  // supersedes the member's previous record.
  const { clock, network } = context;
  network.joinAll(['x'], 3);
  await clock.tickAsync(SETTLE_MS);
  network.halt(network.get('x1'));
  await clock.tickAsync(REMOTE_DEATH_MS);
  assert.not.ok(network.get('x0').membership.isIncarnationAlive('x1#1'));
  network.resume(network.get('x1'));
  await clock.tickAsync(SETTLE_MS);
  expectAlive(network.members, namesOf(network.members));
});

test('a process that was frozen suspects nobody and refutes its own death', async (context) => {
  // Guards against a resuming daemon that suspects several healthy members at once. Answers are
  // late for a moment, and all members are frozen for a minute while probes are in progress, so
  // that late timers look like unanswered probes.
  const { clock, network } = context;
  network.joinAll(['x', 'y'], 3);
  await clock.tickAsync(SETTLE_MS);
  network.isCut = () => true;
  await clock.tickAsync(1_500);
  network.isCut = () => false;
  const pauses: number[] = [];
  const { membership } = network.get('x0');
  membership.onPause((pausedMs) => pauses.push(pausedMs));
  clock.jump(60_000);
  await clock.tickAsync(SETTLE_MS);
  assert.is(pauses.length, 1);
  assert.ok((pauses[0] as number) > 59_000);
  assert.is(membership.self.refutation, 1);
  assert.is(countEvents(network, 'memberSuspected'), 0);
  expectAlive(network.members, namesOf(network.members));
});

test('a suspicion is extended by the time for which the prober was frozen', async (context) => {
  // Guards against a resuming daemon that declares a healthy member dead. x1 is unreachable and
  // suspected, all members are frozen for a minute, and x1 becomes reachable again. The suspicion
  // would expire while nobody could receive the refutation.
  const { clock, network } = context;
  network.joinAll(['x'], 4);
  await clock.tickAsync(SETTLE_MS);
  await isolateUntilSuspected(context, 'x1');
  clock.jump(60_000);
  await clock.tickAsync(1_000);
  network.isCut = () => false;
  await clock.tickAsync(SETTLE_MS);
  expectAlive(network.members, namesOf(network.members));
  const buried = network.members.flatMap((member) => listEvents(member, 'memberDied'));
  assert.is(buried.filter(isAbout('x1#1')).length, 0);
});

test('after a very long pause a member forgets its view instead of gossiping it', async (context) => {
  // Guards against dead and forgotten daemons that become alive again everywhere for a while. x0 is
  // frozen for longer than dead members are remembered, resumes and gossips its records, and no
  // member remembers that they are outdated.
  const { clock, network } = context;
  network.joinAll(['x'], 3);
  await clock.tickAsync(SETTLE_MS);
  const known: number[] = [];
  const { membership } = network.get('x0');
  membership.onPause(() => known.push(membership.listMembers().length));
  clock.jump(7_200_000);
  await clock.tickAsync(SETTLE_MS);
  assert.equal(known, [1]);
  expectAlive(network.members, namesOf(network.members));
});

const listVms = (...addresses: readonly string[]): readonly ListedVm[] =>
  addresses.map((address) => ({
    name: address,
    role: 'entry' as const,
    dataCentre: 'x',
    address,
    state: 'live' as const,
  }));

test('the VM list helps members find each other and never removes one', async (context) => {
  // Guards against a healthy daemon that is removed because the platform's list lacks it. Two
  // members without seeds find each other through the list; then the list loses one of them and
  // shows a VM that does not exist. The list lags and is not authoritative.
  const { clock, network } = context;
  let listed = listVms('x0', 'x1');
  const vmList = { list: async () => listed };
  ['x0', 'x1'].forEach((vm) => network.join({ vm, dataCentre: 'x', seeds: [], vmList }));
  await clock.tickAsync(30_000);
  expectAlive(network.members, ['x0#1', 'x1#1']);
  listed = listVms('x0', 'x7');
  await clock.tickAsync(60_000);
  expectAlive(network.members, ['x0#1', 'x1#1']);
  assert.is(countEvents(network, 'memberSuspected') + countEvents(network, 'memberDied'), 0);
});

test('a late joiner learns of all members from one seed at once', async ({ clock, network }) => {
  network.joinAll(['x', 'y', 'z'], 5);
  await clock.tickAsync(120_000);
  const late = network.join({ vm: 'z9', dataCentre: 'z', seeds: ['x3'] });
  await clock.tickAsync(500);
  expectAlive([late], namesOf(network.members));
});

test('updates during a short partition are known everywhere after it', async (context) => {
  // Guards against daemons that never learn of a new one. x7, which is not a relay, joins while y
  // is partitioned, too briefly for anyone to be declared dead. Updates are gossiped a bounded
  // number of times, so this one has been disseminated when the partition heals.
  const { clock, network } = context;
  network.joinAll(['x', 'y'], 5);
  await clock.tickAsync(SETTLE_MS);
  network.cutOff('y');
  const late = network.join({ vm: 'x7', dataCentre: 'x' });
  await clock.tickAsync(SETTLE_MS);
  network.isCut = () => false;
  const relays = late.membership.rankLocal('relay/y').slice(0, RELAYS_PER_DATA_CENTRE);
  assert.not.ok(relays.includes(late.membership.self));
  await clock.tickAsync(15_000);
  expectAlive(network.members, namesOf(network.members));
});

test('an answer carries updates, but nothing that the sender already knows', async ({
  clock,
  network,
}) => {
  const { membership } = network.join({ vm: 'x0', dataCentre: 'x' });
  await clock.tickAsync(1);
  const [asker, mentioned, later] = ['x1', 'x2', 'x3'].map((vm) => ({
    ...membership.self,
    vm,
    address: vm,
    incarnation: `${vm}#1`,
  })) as [Member, Member, Member];
  const ask = async (from: Member, members: Member[]): Promise<readonly string[]> => {
    const at = { wallMs: 0, counter: 0 };
    const message = { from, members, topics: {}, at, digest: 0 };
    const answer = await membership.handlers.exchange(message);
    return answer.members.map((member) => member.vm).sort();
  };
  assert.equal(await ask(asker, [mentioned]), []);
  assert.equal(await ask(later, []), ['x1', 'x2']);
});

test('topic payloads are exchanged, and a topic that throws stops nothing', async (context) => {
  const { clock, network } = context;
  const heard = new Set<string>();
  const topic = {
    name: 'revision',
    getPayload: () => ({ revision: 7 }),
    mergePayload: (payload: unknown, from: { vm: string }) =>
      heard.add(`${from.vm}:${JSON.stringify(payload)}`),
  };
  const broken = {
    name: 'broken',
    getPayload: () => {
      throw new Error('no payload');
    },
    mergePayload: () => undefined,
  };
  network.join({ vm: 'x0', dataCentre: 'x', topics: [broken, topic] });
  network.join({ vm: 'x1', dataCentre: 'x', topics: [topic] });
  await clock.tickAsync(SETTLE_MS);
  assert.equal([...heard].sort(), ['x0:{"revision":7}', 'x1:{"revision":7}']);
  assert.is(describeView(network.get('x0')), 'x0#1:alive x1#1:alive');
});

test.run();
