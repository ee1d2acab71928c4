/** Load sharing in large fleets: its cost per daemon, the age of the loads, and failures. */
import { createRandom } from '@snipehaven/common';
import * as assert from 'uvu/assert';
import { AggregatorElection, AGGREGATOR_TIMEOUT_MS } from './aggregatorElection.js';
import { AGGREGATOR_ORDER } from './rendezvousOrder.js';
import type { DaemonFleet, FleetMember, FleetOptions } from './testSupport/daemonFleet.js';
import { createFleet, createFleetSuite, type FleetContext } from './testSupport/fleetSuite.js';

const test = createFleetSuite('large fleets');

const UPSTREAM = 'u-1';
const SETTLE_MS = 3_000;

/**
 * An aggregate takes at most two ticks in a data centre and four to another; the rest allows for
 * the loss of one datagram.
 */
const PROPAGATION_MS = 1_000;

const startFleet = async (context: FleetContext, options: FleetOptions): Promise<DaemonFleet> => {
  const fleet = createFleet(context, options);
  await fleet.start();
  context.clock.tick(SETTLE_MS);
  return fleet;
};

const setOwnLoad = ({ ownLoads: own }: FleetMember, requests: number): void => {
  own.set(UPSTREAM, { work: requests * 100, requests });
};

const findAggregator = ({ members }: DaemonFleet, dataCentre: string): FleetMember => {
  const local = members.filter(({ self }) => self.dataCentre === dataCentre);
  const [first] = AGGREGATOR_ORDER.rank(local.map(({ self }) => self.vm));
  const found = local.find(({ self }) => self.vm === first);
  if (found === undefined) {
    throw new Error(`no aggregator found in ${dataCentre}`);
  }
  return found;
};

const hasReceived = (member: FleetMember, total: number): boolean => {
  const own = member.ownLoads.get(UPSTREAM)?.requests ?? 0;
  return member.loads.get(UPSTREAM).requests + own === total;
};

const countReceived = (members: readonly FleetMember[], total: number): number =>
  members.filter((member) => hasReceived(member, total)).length;

const PLACEMENT_INTERVAL_MS = 10;
const placementRandom = createRandom(7);

/**
 * Each daemon starts three requests a second, each at one of sixty upstreams, and runs a few at
 * once.
 */
const placeWork = ({ members }: DaemonFleet): void => {
  const startedCount = Math.round((members.length * 3 * PLACEMENT_INTERVAL_MS) / 1_000);
  for (let index = 0; index < startedCount; index += 1) {
    const member = members[placementRandom.nextInt(members.length)];
    if (member !== undefined && member.ownLoads.size > 4) {
      member.ownLoads.clear();
    }
    member?.ownLoads.set(`u-${placementRandom.nextInt(60)}`, {
      work: placementRandom.nextInt(9_000),
      requests: 1,
    });
  }
};

test('each daemon counts the loads of all others once, excluding its own', async (context) => {
  const { members } = await startFleet(context, { daemons: 60, dataCentres: 3 });
  members.forEach((member, index) => setOwnLoad(member, 1 + (index % 3)));
  context.clock.tick(PROPAGATION_MS);
  assert.is(countReceived(members, 120), 60);
});

test('each daemon sums the roll-out counts of its peers once, excluding its own', async (context) => {
  for (const [daemons, dataCentres] of [
    [9, 3],
    [60, 3],
  ] as const) {
    const { members } = await startFleet(context, { daemons, dataCentres });
    const others = daemons - 1;
    const mismatched = members.filter(({ loads }) => {
      const counts = loads.findRolloutCounts('s', { era: 1, version: 1 });
      const isSum =
        counts?.candidate.answers === 3 * others &&
        counts.candidate.bad === others &&
        counts.present.answers === 5 * others &&
        counts.candidateAtFullShare.get('dc-0')?.bad === 0.5 * others;
      return !isSum;
    });
    assert.is(mismatched.length, 0, `${mismatched.length} of ${daemons}`);
  }
});

// Guards against traffic per daemon that grows with the size of the fleet. In a full mesh each of
// 195 daemons sent and received 85 datagrams a second, 16,000 in total, and a minute of it took
// half an hour to simulate.
test('the traffic of a daemon is bounded in fleets of any size', async (context) => {
  for (const [daemons, dataCentres] of [
    [19, 5],
    [88, 3],
    [195, 5],
    [400, 7],
  ] as const) {
    const fleet = await startFleet(context, { daemons, dataCentres });
    const work = setInterval(() => placeWork(fleet), PLACEMENT_INTERVAL_MS);
    const { sent, received, receivedBytes } = fleet.measureTraffic(5_000);
    clearInterval(work);
    fleet.stop();
    const seen = `${daemons}: sent ${sent}, received ${received}, ${receivedBytes} bytes a second`;
    assert.ok(sent + received <= 30, seen);
    assert.ok(receivedBytes <= 6_000, seen);
  }
});

test('nine tenths of the daemons know of new work within 300 ms', async (context) => {
  const { members } = await startFleet(context, { daemons: 195, dataCentres: 5 });
  const [first] = members;
  assert.ok(first);
  const local = members.filter(({ self }) => self.dataCentre === first.self.dataCentre);
  let received = 0;
  for (let round = 1; round <= 10; round += 1) {
    setOwnLoad(first, round);
    first.exchange.notePlacedWork(5_000);
    context.clock.tick(300);
    received += countReceived(local, round);
    context.clock.tick(700);
  }
  assert.ok(received >= 0.9 * 10 * local.length, `${received} of ${10 * local.length}`);
});

// Guards against a freshly started daemon that omits hedged runs because it takes engines for slow:
// it has seen no answer yet and does not receive what the others learned.
test('each daemon receives the statistics of all others', async (context) => {
  const { members } = await startFleet(context, { daemons: 60, dataCentres: 3 });
  for (const { loads } of members) {
    const work = loads.findPace('s')?.work ?? 0;
    assert.ok(work >= 59 * 100 && work <= 60 * 100, `${work}`);
    const [demand] = loads.listDemands('s');
    assert.is(demand?.model, 'm');
  }
});

// Guards against a killed aggregator that nobody replaces: its data centre would place work without
// knowing the loads.
test('a second daemon becomes aggregator after the first is killed, and then a third', async (context) => {
  const fleet = await startFleet(context, { daemons: 60, dataCentres: 3 });
  const [dead, next] = AGGREGATOR_ORDER.rank(
    fleet.members.filter(({ self }) => self.dataCentre === 'dc-0').map(({ self }) => self.vm),
  );
  const kill = (vm: string | undefined): void => {
    const member = fleet.members.find(({ self }) => self.vm === vm);
    member?.exchange.stop();
  };
  kill(dead);
  context.clock.tick(SETTLE_MS);
  const remaining = fleet.members.filter(({ self }) => self.vm !== dead);
  remaining.forEach((member) => setOwnLoad(member, 1));
  context.clock.tick(PROPAGATION_MS);
  assert.is(countReceived(remaining, 59), 59);
  kill(next);
  context.clock.tick(SETTLE_MS);
  const rest = remaining.filter(({ self }) => self.vm !== next);
  assert.is(countReceived(rest, 58), 58);
});

// Guards against a returning aggregator that all daemons believe because it is first in the order.
// It was disconnected for two seconds and includes only its own loads, so the engines would look
// idle to the whole data centre.
test('an aggregator that was disconnected does not send incomplete aggregates afterwards', async (context) => {
  const fleet = await startFleet(context, { daemons: 60, dataCentres: 3 });
  const { vm, host } = findAggregator(fleet, 'dc-0').self;
  const others = fleet.members.filter(({ self }) => self.vm !== vm);
  others.forEach((member) => setOwnLoad(member, 1));
  context.clock.tick(PROPAGATION_MS);
  fleet.network.setDown(host, true);
  context.clock.tick(2_500);
  assert.is(countReceived(others, 59), 59);
  fleet.network.setDown(host, false);
  for (let waited = 0; waited < 3_000; waited += 50) {
    context.clock.tick(50);
    const informed = countReceived(others, 59);
    assert.ok(informed >= 50, `${informed} of 59 know all loads after ${waited} ms`);
  }
});

test('a disconnected data centre continues alone and rejoins the others', async (context) => {
  const fleet = await startFleet(context, { daemons: 60, dataCentres: 3, lossShare: 0.02 });
  fleet.members.forEach((member) => setOwnLoad(member, 1));
  fleet.network.setCut('dc-1', true);
  context.clock.tick(SETTLE_MS);
  const inside = fleet.members.filter(({ self }) => self.dataCentre === 'dc-1');
  assert.is(countReceived(inside, 20), 20);
  fleet.network.setCut('dc-1', false);
  context.clock.tick(SETTLE_MS);
  assert.is(countReceived(fleet.members, 60), 60);
});

test('daemons become candidates for aggregator in order, and the earlier of two wins', () => {
  const vms = ['vm-1', 'vm-2', 'vm-3'];
  const [first = '', second = '', third = ''] = AGGREGATOR_ORDER.rank(vms);
  const election = new AggregatorElection(third, () => AGGREGATOR_ORDER.rank(vms), 0);
  assert.is(election.findAggregator(AGGREGATOR_TIMEOUT_MS), undefined);
  assert.is(election.findAggregator(AGGREGATOR_TIMEOUT_MS + 1), first);
  assert.ok(election.handleAggregate({ vm: second, members: 2 }, 700));
  assert.is(election.findAggregator(800), second);
  assert.ok(election.handleAggregate({ vm: first, members: 2 }, 900));
  assert.not(election.handleAggregate({ vm: second, members: 2 }, 950));
  assert.is(election.findAggregator(1_500), first);
  assert.is(election.findAggregator(1_501), second);
  assert.is(election.findAggregator(1_801), third);
  assert.is(election.findAggregator(9_000), third);
  assert.ok(election.handleAggregate({ vm: first, members: 1 }, 9_001));
  assert.is(election.findAggregator(9_002), first);
  assert.not(election.handleAggregate({ vm: second, members: 0 }, 9_100));
  assert.ok(election.handleAggregate({ vm: second, members: 2 }, 9_101));
});

test.run();
