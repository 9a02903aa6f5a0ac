import test from 'ava';
import type {ListedInstance} from '../../platform/instance-list.js';
import {OwnerLiveness} from '../owner-liveness.js';

const entry: ListedInstance = {
	name: 'entry-1', kind: 'entry', address: '10.0.0.1:80', failureDomain: 'tartu-a', region: 'tartu', state: 'live', labels: {},
};

const cases: Array<{name: string; readings: Array<{at: number; listed: boolean}>; askedAt: number; dead: boolean}> = [
	{
		name: 'never listed', readings: [{at: 0, listed: false}], askedAt: 100_000, dead: false,
	},
	{
		name: 'listed', readings: [{at: 0, listed: true}], askedAt: 100_000, dead: false,
	},
	{
		name: 'missing for less than the grace', readings: [{at: 0, listed: true}, {at: 1000, listed: false}], askedAt: 30_999, dead: false,
	},
	{
		name: 'missing for the grace', readings: [{at: 0, listed: true}, {at: 1000, listed: false}], askedAt: 31_000, dead: true,
	},
	{
		name: 'back in the list', readings: [{at: 0, listed: true}, {at: 1000, listed: false}, {at: 2000, listed: true}], askedAt: 100_000, dead: false,
	},
];

for (const {name, readings, askedAt, dead} of cases) {
	test(`owner ${name}: ${dead ? 'dead' : 'not dead'}`, t => {
		const owners = new OwnerLiveness();
		for (const {at, listed} of readings) {
			owners.applySnapshot({revision: at, instances: listed ? [entry] : []}, at);
		}

		t.is(owners.isDead('entry-1/7f', askedAt), dead);
	});
}
