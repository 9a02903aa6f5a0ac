import test from 'ava';
import fc from 'fast-check';
import type {Customer} from '../../configuration/model.js';
import {CustomerLimits} from '../customer-limits.js';
import {fairSharePerWeight} from '../fair-share.js';
import {instanceLimitShare, maximumShareSum} from '../limit-share.js';

test('instance shares add up to the limit for any demand if all digests are known', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.double({min: 0.001, max: 1e6, noNaN: true}), {minLength: 1, maxLength: 350}), demands => {
			const sum = demands.reduce((total, publishedDemand, index) => (
				total + instanceLimitShare({instanceCount: demands.length, publishedDemand, peerDemands: demands.toSpliced(index, 1)})), 0);
			return Math.abs(sum - 1) < 1e-6;
		}));
	});
});

test('the sum of the instance shares stays within its bound if some instances lack all digests', t => {
	const instance = fc.record({publishedDemand: fc.double({min: 0, max: 1e6, noNaN: true}), isPartitioned: fc.boolean()});
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(instance, {minLength: 1, maxLength: 100}), instances => {
			const demands = instances.map(({publishedDemand}) => publishedDemand);
			const sum = instances.reduce((total, {publishedDemand, isPartitioned}, index) => (
				total + instanceLimitShare({instanceCount: demands.length, publishedDemand, peerDemands: isPartitioned ? [] : demands.toSpliced(index, 1)})), 0);
			return sum <= maximumShareSum + 1e-6;
		}));
	});
});

const customer: Customer = {
	name: 'c', labels: {}, keyHashes: [], weight: 1, classes: [], limits: {requestsPerSecond: 8, promptTokensPerSecond: undefined, tokensInFlight: 4000},
};

test('four instances without digests together admit no more than the limit plus the burst', t => {
	const instances = [0, 1, 2, 3].map(() => new CustomerLimits());
	let admitted = 0;
	for (const limits of instances) {
		limits.setInstances(4);
		for (let now = 0; now <= 10_000; now += 50) {
			if (!limits.findExceededLimit(customer, {prompt: 0, total: 0}, now)) {
				limits.recordAdmission(customer, {prompt: 0, total: 0}, now);
				admitted++;
			}
		}
	}

	t.true(admitted <= 8 * 12);
	t.true(admitted >= 8 * 10);
});

test('tokens in flight are limited, and released when a request ends', t => {
	const limits = new CustomerLimits();
	limits.recordAdmission(customer, {prompt: 3000, total: 3000}, 0);
	t.is(limits.findExceededLimit(customer, {prompt: 2000, total: 2000}, 1000)?.limit, 'tokensInFlight');
	limits.releaseTokensInFlight('c', 3000);
	t.is(limits.findExceededLimit(customer, {prompt: 2000, total: 2000}, 1000), undefined);
});

const fairShareCases: Array<{name: string; customers: Array<[weight: number, demand: number, served: number]>; sharePerWeight: number}> = [
	{name: 'no limit if all demand is met', customers: [[1, 10, 10], [1, 20, 20]], sharePerWeight: Number.POSITIVE_INFINITY},
	{name: 'equal weights share evenly', customers: [[1, 100, 80], [1, 100, 20]], sharePerWeight: 50},
	{name: 'the unused share of a small customer goes to the others', customers: [[1, 10, 10], [1, 100, 45], [1, 100, 45]], sharePerWeight: 45},
	{name: 'shares are proportional to weights', customers: [[3, 100, 60], [1, 100, 20]], sharePerWeight: 20},
];

for (const {name, customers, sharePerWeight} of fairShareCases) {
	test(`fair share: ${name}`, t => {
		t.is(fairSharePerWeight(customers.map(([weight, demand, served]) => ({weight, demand, served}))), sharePerWeight);
	});
}
