import test from 'ava';
import fc from 'fast-check';
import type {Customer} from '../../configuration/model.js';
import {CustomerLimits} from '../customer-limits.js';
import {fairSharePerWeight} from '../fair-share.js';
import {instanceLimitShare, maximumShareSum} from '../limit-share.js';

test('shares add up to the limit while all digests are known, whatever the demand', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.double({min: 0.001, max: 1e6, noNaN: true}), {minLength: 1, maxLength: 350}), demands => {
			const sum = demands.reduce((total, published, index) => (
				total + instanceLimitShare({instanceCount: demands.length, publishedDemand: published, peerDemands: demands.toSpliced(index, 1)})), 0);
			return Math.abs(sum - 1) < 1e-6;
		}));
	});
});

test('shares stay under the bound however many digests are missing at some instances', t => {
	const demand = fc.record({published: fc.double({min: 0, max: 1e6, noNaN: true}), isCutOff: fc.boolean()});
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(demand, {minLength: 1, maxLength: 100}), instances => {
			const demands = instances.map(({published}) => published);
			const sum = instances.reduce((total, {published, isCutOff}, index) => (
				total + instanceLimitShare({instanceCount: demands.length, publishedDemand: published, peerDemands: isCutOff ? [] : demands.toSpliced(index, 1)})), 0);
			return sum <= maximumShareSum + 1e-6;
		}));
	});
});

const customer: Customer = {
	name: 'c', labels: {}, keyHashes: [], weight: 1, classes: [], limits: {requestsPerSecond: 8, promptTokensPerSecond: undefined, tokensInFlight: 4000},
};

test('four instances without digests admit together no more than the limit and its burst', t => {
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

test('tokens in flight are limited and given back', t => {
	const limits = new CustomerLimits();
	limits.recordAdmission(customer, {prompt: 3000, total: 3000}, 0);
	t.is(limits.findExceededLimit(customer, {prompt: 2000, total: 2000}, 1000)?.limit, 'tokensInFlight');
	limits.releaseTokensInFlight('c', 3000);
	t.is(limits.findExceededLimit(customer, {prompt: 2000, total: 2000}, 1000), undefined);
});

const fairCases: Array<{name: string; customers: Array<[weight: number, asked: number, served: number]>; level: number}> = [
	{name: 'all are satisfied', customers: [[1, 10, 10], [1, 20, 20]], level: Number.POSITIVE_INFINITY},
	{name: 'equal weights share evenly', customers: [[1, 100, 80], [1, 100, 20]], level: 50},
	{name: 'a small one leaves its rest to the others', customers: [[1, 10, 10], [1, 100, 45], [1, 100, 45]], level: 45},
	{name: 'weights count', customers: [[3, 100, 60], [1, 100, 20]], level: 20},
];

for (const {name, customers, level} of fairCases) {
	test(`fair level: ${name}`, t => {
		t.is(fairSharePerWeight(customers.map(([weight, asked, served]) => ({weight, asked, served}))), level);
	});
}
