import test from 'ava';
import type {Configuration} from '../../configuration/model.js';
import {Selector} from '../../configuration/selector.js';
import type {Decision, RequestFacts} from '../decision.js';
import type {UpstreamDescription, UpstreamState} from '../observation.js';
import {Router} from '../router.js';

const configuration: Configuration = {
	generation: 7,
	pools: new Map([
		['kohus-llm', {
			name: 'kohus-llm', kind: 'engine', labels: {tier: 'standard'}, upstreams: Selector.parse('role=llm'), models: ['kohus-70b'],
		}],
		['viide-app', {
			name: 'viide-app', kind: 'service', labels: {tier: 'standard'}, upstreams: Selector.parse('role=viide'), models: [],
		}],
	]),
	customers: new Map([
		['advokaat', {
			name: 'advokaat', labels: {}, keyHashes: [], weight: 1, classes: [],
			limits: {requestsPerSecond: undefined, promptTokensPerSecond: undefined, tokensInFlight: undefined},
		}],
		['tudeng', {
			name: 'tudeng', labels: {}, keyHashes: [], weight: 1, classes: [],
			limits: {requestsPerSecond: 0.5, promptTokensPerSecond: undefined, tokensInFlight: undefined},
		}],
	]),
	classes: new Map([
		['quick', {
			name: 'quick', labels: {}, pools: Selector.parse('tier=standard'), priority: 2, deadline: 10_000, nonIdempotent: false, deferred: false, divisible: false,
		}],
		['bundle', {
			name: 'bundle', labels: {}, pools: Selector.parse('tier=standard'), priority: 0, deadline: 600_000, nonIdempotent: false, deferred: true, divisible: true,
		}],
		['nowhere', {
			name: 'nowhere', labels: {}, pools: Selector.parse('tier=gold'), priority: 0, deadline: 1000, nonIdempotent: false, deferred: false, divisible: false,
		}],
	]),
};

function upstream(name: string, state: UpstreamState = 'live'): UpstreamDescription {
	return {
		name, state, kind: name.startsWith('viide') ? 'service' : 'engine', labels: {role: name.startsWith('viide') ? 'viide' : 'llm'}, failureDomain: 'tartu-a',
	};
}

function facts(changes: Partial<RequestFacts> = {}): RequestFacts {
	return {
		requestId: 'r1', customer: 'advokaat', requestClass: 'quick', model: 'kohus-70b', service: undefined, promptBytes: 8000, messageBytes: [8000],
		prefixHashes: [], maximumAnswerTokens: 200, deadline: 20_000, excluded: [], ...changes,
	};
}

function makeRouter(upstreams: readonly UpstreamDescription[], totalBlocks = 6400): Router {
	const router = new Router({instance: 'entry-1', failureDomain: 'tartu-a', seed: 1});
	router.setConfiguration(configuration, 0);
	router.setUpstreams(upstreams, 0);
	for (const {name, kind} of upstreams) {
		if (kind === 'engine') {
			router.observe({
				kind: 'load', upstream: name, report: {
					sequence: 1, incarnation: 'a', age: 0, running: 0, waiting: 0, pendingPromptTokens: 0, freeBlocks: totalBlocks, totalBlocks,
					blockTokens: 64, models: ['kohus-70b'], role: 'mixed', leaving: false,
				},
			}, 0);
		}
	}

	return router;
}

function outcomeOf(decision: Decision): string {
	return decision.kind === 'refuse' ? `refuse ${decision.code}` : decision.kind;
}

const manyEngines = ['llm-1', 'llm-2', 'llm-3', 'llm-4'].map(name => upstream(name));

const cases: Array<{name: string; upstreams: UpstreamDescription[]; request: Partial<RequestFacts>; expected: string}> = [
	{
		name: 'a short prompt is sent', upstreams: manyEngines, request: {}, expected: 'send',
	},
	{
		name: 'an engine that is leaving receives no requests', upstreams: [upstream('llm-1', 'leaving')], request: {}, expected: 'refuse 3005',
	},
	{
		name: 'a class without a pool', upstreams: manyEngines, request: {requestClass: 'nowhere'}, expected: 'refuse 3005',
	},
	{
		name: 'all engines have already been tried', upstreams: [upstream('llm-1')], request: {excluded: ['llm-1']}, expected: 'refuse 3005',
	},
	{
		name: 'a deadline that cannot be met', upstreams: manyEngines, request: {deadline: 100}, expected: 'refuse 3004',
	},
	{
		name: 'a prompt that fits no engine', upstreams: manyEngines, request: {promptBytes: 4_000_000, messageBytes: [4_000_000]}, expected: 'refuse 3003',
	},
	{
		name: 'a divisible prompt that fits no engine',
		upstreams: manyEngines,
		request: {
			requestClass: 'bundle', promptBytes: 3_000_000, messageBytes: [1000, ...Array.from({length: 30}, () => 100_000), 1000], deadline: 600_000,
		},
		expected: 'divide',
	},
	{
		name: 'a long prompt with all engines idle', upstreams: manyEngines, request: {requestClass: 'bundle', promptBytes: 900_000, deadline: 600_000}, expected: 'send',
	},
	{
		name: 'a service request', upstreams: [upstream('viide-1'), upstream('viide-2')], request: {model: undefined, service: 'viide-app', promptBytes: 0}, expected: 'send',
	},
	{
		name: 'a service without live upstreams', upstreams: [upstream('viide-1', 'down')], request: {model: undefined, service: 'viide-app', promptBytes: 0}, expected: 'refuse 3005',
	},
];

for (const {name, upstreams, request, expected} of cases) {
	test(`${name}: ${expected}`, t => {
		const decision = makeRouter(upstreams).decide(facts(request), 0);
		t.is(outcomeOf(decision), expected);
		t.deepEqual(makeRouter(upstreams).decide(facts(request), 0), decision, 'the same inputs and seed give the same decision');
	});
}

test('a customer that exceeds its request rate is refused, and admitted again later', t => {
	const router = makeRouter(manyEngines);
	const decisions = [0, 1, 2].map(index => router.decide(facts({requestId: `r${index}`, customer: 'tudeng'}), 0));
	t.deepEqual(decisions.map(decision => outcomeOf(decision)), ['send', 'refuse 3001', 'refuse 3001']);
	t.is(outcomeOf(router.decide(facts({requestId: 'r9', customer: 'tudeng'}), 2000)), 'send');
});

test('long prompts occupy separate engines or are queued, and short prompts are sent to other engines', t => {
	const router = makeRouter(manyEngines);
	const longPrompt = (requestId: string) => facts({
		requestId, requestClass: 'bundle', promptBytes: 900_000, deadline: 600_000,
	});
	const occupied = new Set<string>();
	const kinds: string[] = [];
	for (let index = 0; index < 5; index++) {
		const decision = router.decide(longPrompt(`long-${index}`), 0);
		kinds.push(decision.kind);
		if (decision.kind === 'send') {
			occupied.add(decision.upstream);
			kinds.push(decision.isReservationRequired ? 'reserve' : 'now', router.handleReservationOutcome(`long-${index}`, {kind: 'reserved', expectedWait: 0}, 2)?.kind ?? 'lost');
		}
	}

	t.deepEqual(kinds.slice(0, 3), ['send', 'reserve', 'send']);
	t.is(kinds.at(-1), 'wait');
	for (let index = 0; index < 20; index++) {
		const decision = router.decide(facts({requestId: `short-${index}`}), 10);
		t.true(decision.kind === 'send' && !occupied.has(decision.upstream));
	}
});

test('a queued long prompt is sent when an engine becomes available', t => {
	const router = makeRouter([upstream('llm-1')]);
	const longPrompt = (requestId: string) => facts({
		requestId, requestClass: 'bundle', promptBytes: 900_000, deadline: 600_000,
	});
	router.decide(longPrompt('a'), 0);
	router.handleReservationOutcome('a', {kind: 'reserved', expectedWait: 0}, 2);
	t.is(router.decide(longPrompt('b'), 10).kind, 'wait');
	t.deepEqual(router.drain(20), []);
	router.observe({kind: 'first-token', requestId: 'a'}, 3000);
	router.observe({
		kind: 'ended', requestId: 'a', outcome: 'finished', usage: undefined,
	}, 4000);
	t.deepEqual(router.drain(4000).map(({requestId, decision}) => [requestId, decision.kind]), [['b', 'send']]);
});

const removals: Array<{name: string; changed: Configuration}> = [
	{name: 'class', changed: {...configuration, classes: new Map([...configuration.classes].filter(([name]) => name !== 'bundle'))}},
	{name: 'customer', changed: {...configuration, customers: new Map()}},
];

for (const {name, changed} of removals) {
	test(`a queued long prompt whose ${name} is removed is refused, and the others in the queue are decided`, t => {
		const router = makeRouter([upstream('llm-1')]);
		const longPrompt = (requestId: string) => facts({
			requestId, requestClass: 'bundle', promptBytes: 900_000, deadline: 600_000,
		});
		router.decide(longPrompt('a'), 0);
		router.handleReservationOutcome('a', {kind: 'reserved', expectedWait: 0}, 2);
		router.decide(longPrompt('b'), 10);
		router.setConfiguration({...changed, generation: 8}, 15);
		t.deepEqual(router.drain(20).map(({requestId, decision}) => [requestId, outcomeOf(decision)]), [['b', 'refuse 3005']]);
		t.deepEqual(router.drain(30), []);
	});
}

test('after a refused reservation the prompt is sent to another engine or queued', t => {
	const router = makeRouter(manyEngines);
	router.decide(facts({requestClass: 'bundle', promptBytes: 900_000, deadline: 600_000}), 0);
	let decision = router.handleReservationOutcome('r1', {kind: 'refused'}, 1);
	const tried = new Set<string>();
	while (decision?.kind === 'send') {
		t.false(tried.has(decision.upstream));
		tried.add(decision.upstream);
		decision = router.handleReservationOutcome('r1', {kind: 'refused'}, 2);
	}

	t.is(decision?.kind, 'wait');
});

test('explain gives the reasons why pools do not match and upstreams are excluded', t => {
	const router = makeRouter([upstream('llm-1'), upstream('llm-2', 'leaving'), upstream('viide-1')]);
	const {pools, candidates} = router.explain(facts(), 0);
	t.deepEqual(pools.map(({pool, matches, unmet}) => [pool, matches, unmet]), [
		['kohus-llm', true, undefined], ['viide-app', false, 'is of kind service'],
	]);
	t.deepEqual(candidates.map(({upstream: name, excludedBecause}) => [name, excludedBecause]), [
		['llm-1', undefined], ['llm-2', 'is leaving'], ['viide-1', 'role=llm'],
	]);
});

const startOrders: Array<{name: string; configurationFirst: boolean}> = [
	{name: 'the configuration', configurationFirst: true},
	{name: 'the upstreams', configurationFirst: false},
];

for (const {name, configurationFirst} of startOrders) {
	test(`observed prefill times are used after setting ${name} first`, t => {
		const router = new Router({instance: 'entry-1', failureDomain: 'tartu-a', seed: 1});
		const steps = [
			() => {
				router.setConfiguration(configuration, 0);
			},
			() => {
				router.setUpstreams([upstream('llm-1')], 0);
			},
		];
		for (const step of configurationFirst ? steps : steps.toReversed()) {
			step();
		}

		const scores = Array.from({length: 10}, (_, index) => {
			const requestId = `request-${index}`;
			const now = index * 10_000;
			const decision = router.decide(facts({requestId, deadline: now + 20_000}), now);
			router.observe({kind: 'sent', requestId, upstream: 'llm-1'}, now);
			router.observe({kind: 'first-token', requestId}, now + 4);
			router.observe({
				kind: 'ended', requestId, outcome: 'finished', usage: undefined,
			}, now + 20);
			return decision.kind === 'send' ? decision.score : Number.NaN;
		});

		t.true(scores.at(-1)! < scores[0]! / 2, `scores stayed at ${scores.join(', ')}`);
	});
}
