import test from 'ava';
import type {ListedInstance} from '../../platform/instance-list.js';
import {OwnerLiveness} from '../owner-liveness.js';

const entry: ListedInstance = {
	name: 'entry-1', kind: 'entry', address: '10.0.0.1:80', failureDomain: 'tartu-a', region: 'tartu', state: 'live', labels: {},
};

const cases: Array<{name: string; snapshots: Array<{at: number; listed: boolean}>; askedAt: number; dead: boolean}> = [
	{
		name: 'never listed', snapshots: [{at: 0, listed: false}], askedAt: 100_000, dead: false,
	},
	{
		name: 'listed', snapshots: [{at: 0, listed: true}], askedAt: 100_000, dead: false,
	},
	{
		name: 'missing for less than the grace period', snapshots: [{at: 0, listed: true}, {at: 1000, listed: false}], askedAt: 30_999, dead: false,
	},
	{
		name: 'missing for the grace period', snapshots: [{at: 0, listed: true}, {at: 1000, listed: false}], askedAt: 31_000, dead: true,
	},
	{
		name: 'listed again', snapshots: [{at: 0, listed: true}, {at: 1000, listed: false}, {at: 2000, listed: true}], askedAt: 100_000, dead: false,
	},
];

for (const {name, snapshots, askedAt, dead} of cases) {
	test(`owner ${name}: ${dead ? 'dead' : 'not dead'}`, t => {
		const ownerLiveness = new OwnerLiveness();
		for (const {at, listed} of snapshots) {
			ownerLiveness.applySnapshot({revision: at, instances: listed ? [entry] : []}, at);
		}

		t.is(ownerLiveness.isDead('entry-1/7f', askedAt), dead);
	});
}
