import test from 'ava';
import {Membership} from '../membership.js';
import type {MemberClaim, MemberState} from '../messages.js';
import {chooseNeighbours, rendezvous} from '../rendezvous.js';

function claim(name: string, incarnation: number, state: MemberState = 'alive'): MemberClaim {
	return {
		name, incarnation, state, address: '127.0.0.1:1', failureDomain: 'ist-a', region: 'tr-marmara',
	};
}

type Step = {receive: MemberClaim} | {suspect: string} | {tick: number};

const cases: Array<{name: string; steps: Step[]; state: MemberState | undefined; live: number}> = [
	{
		name: 'a claim makes a member', steps: [{receive: claim('b', 1)}], state: 'alive', live: 2,
	},
	{
		name: 'a suspected member still counts', steps: [{receive: claim('b', 1)}, {suspect: 'b'}, {tick: 3999}], state: 'suspect', live: 2,
	},
	{
		name: 'a suspicion becomes a death', steps: [{receive: claim('b', 1)}, {suspect: 'b'}, {tick: 4000}], state: 'dead', live: 1,
	},
	{
		name: 'a refuted suspicion ends', steps: [{receive: claim('b', 1)}, {suspect: 'b'}, {receive: claim('b', 2)}, {tick: 9000}], state: 'alive', live: 2,
	},
	{
		name: 'an old claim does not bring back the dead', steps: [{receive: claim('b', 1, 'dead')}, {receive: claim('b', 1)}], state: 'dead', live: 1,
	},
	{
		name: 'a false death is taken back', steps: [{receive: claim('b', 1, 'dead')}, {receive: claim('b', 2)}], state: 'alive', live: 2,
	},
	{
		name: 'a restart has a higher incarnation', steps: [{receive: claim('b', 1, 'leaving')}, {receive: claim('b', 7)}], state: 'alive', live: 2,
	},
	{
		name: 'one that leaves is not suspected', steps: [{receive: claim('b', 1, 'leaving')}, {suspect: 'b'}], state: 'leaving', live: 1,
	},
	{
		name: 'the dead are forgotten in the end', steps: [{receive: claim('b', 1, 'dead')}, {tick: 120_000}], state: undefined, live: 1,
	},
];

for (const {name, steps, state, live} of cases) {
	test(name, t => {
		const membership = new Membership(claim('a', 1));
		for (const step of steps) {
			if ('receive' in step) {
				membership.receive(step.receive, 0);
			} else if ('suspect' in step) {
				membership.suspect(step.suspect, 0);
			} else {
				membership.tick(step.tick);
			}
		}

		t.is(membership.claim('b')?.state, state);
		t.is(membership.live.length, live);
	});
}

for (const state of ['suspect', 'dead'] as const) {
	test(`an instance refutes the claim that it is ${state}`, t => {
		const membership = new Membership(claim('a', 1));

		const event = membership.receive(claim('a', 1, state), 0);

		t.like(event, {claim: {state: 'alive', incarnation: 2}});
	});
}

for (const count of [2, 8, 70, 350]) {
	test(`links of ${count} instances form one graph of short paths`, t => {
		const names = Array.from({length: count}, (_, index) => `entry-${index}`);
		const links = new Map<string, Set<string>>(names.map(name => [name, new Set()]));
		for (const name of names) {
			for (const neighbour of chooseNeighbours(name, names, 2)) {
				links.get(name)!.add(neighbour);
				links.get(neighbour)!.add(name);
			}
		}

		let reached = new Set([names[0]!]);
		let hops = 0;
		for (; reached.size < count && hops < 20; hops++) {
			reached = new Set([...reached].flatMap(name => [name, ...links.get(name)!]));
		}

		t.is(reached.size, count);
		t.true(hops <= 2 + (1.5 * Math.log2(count)), `${hops} hops`);
	});
}

test('losing a member moves only the keys that it had', t => {
	const names = Array.from({length: 20}, (_, index) => `entry-${index}`);
	const without = names.filter(name => name !== 'entry-3');
	for (let index = 0; index < 200; index++) {
		const [before] = rendezvous(`kohus-llm-${index}`, names, 1);
		const [after] = rendezvous(`kohus-llm-${index}`, without, 1);
		t.true(before === after || before === 'entry-3');
	}
});
