import test from 'ava';
import type {
	Configuration, Customer, Pool, RequestClass,
} from '../../configuration/model.js';
import {Selector} from '../../configuration/selector.js';
import {checkConfiguration} from '../check-configuration.js';
import {decisionFields} from '../decision-line.js';

const pool: Pool = {
	name: 'llm', kind: 'engine', labels: {tier: 'standard'}, upstreams: Selector.parse('role=llm'), models: ['m'],
};
const requestClass: RequestClass = {
	name: 'quick', labels: {}, pools: Selector.parse('tier=standard'), priority: 1, deadline: 1000, nonIdempotent: false, deferred: false, divisible: false,
};
const customer: Customer = {
	name: 'c', labels: {}, keyHashes: [], weight: 1, limits: {requestsPerSecond: undefined, promptTokensPerSecond: undefined, tokensInFlight: undefined}, classes: [],
};

const cases: Array<{name: string; pool?: Partial<Pool>; requestClass?: Partial<RequestClass>; customer?: Partial<Customer>; problems: string[]}> = [
	{name: 'all is well', problems: []},
	{name: 'no upstream', pool: {upstreams: Selector.parse('role=x')}, problems: ['pool llm: selector "role=x" matches no upstream']},
	{name: 'no model', pool: {models: []}, problems: ['pool llm: is of kind engine and serves no model']},
	{name: 'no pool', requestClass: {pools: Selector.parse('tier=gold')}, problems: ['class quick: selector "tier=gold" matches no pool']},
	{name: 'unknown class', customer: {classes: ['slow']}, problems: ['customer c: class "slow" is not declared']},
	{
		name: 'limits that contradict',
		customer: {limits: {requestsPerSecond: 10, promptTokensPerSecond: 5, tokensInFlight: 0}},
		problems: [
			'customer c: limit tokensInFlight of 0 would refuse everything',
			'customer c: limits contradict: 5 prompt tokens a second never allow 10 requests a second',
		],
	},
];

for (const {name, problems, ...changes} of cases) {
	test(`configuration check: ${name}`, t => {
		const configuration: Configuration = {
			generation: 1,
			pools: new Map([['llm', {...pool, ...changes.pool}]]),
			classes: new Map([['quick', {...requestClass, ...changes.requestClass}]]),
			customers: new Map([['c', {...customer, ...changes.customer}]]),
		};
		const found = checkConfiguration(configuration, [{
			name: 'e', kind: 'engine', labels: {role: 'llm'}, failureDomain: 'a', state: 'live',
		}]);
		t.deepEqual(found.map(problem => `${problem.kind} ${problem.name}: ${problem.message}`), problems);
	});
}

test('a refusal is logged with its number, its reason and when to come back', t => {
	t.like(decisionFields({
		requestId: 'r', customer: 'c', requestClass: 'quick', model: 'm', service: undefined, promptBytes: 1, messageBytes: [1], prefixHashes: [],
		maximumAnswerTokens: 1, deadline: 1, excluded: [],
	}, {
		kind: 'refuse', code: '3002', retryAfter: 10, reason: 'busy',
	}, 7), {
		request: 'r', decision: 'refuse', code: '3002', retry_after: 10, reason: 'busy', generation: 7,
	});
});
