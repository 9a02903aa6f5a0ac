import test from 'ava';
import type {EngineProfile, EngineRecord} from '../../serving/model.js';
import {LoadTracker} from '../load-tracker.js';
import {placePrompt, type PromptCandidate, type PromptRequirements} from '../prompt-placement.js';

const cost: EngineProfile = {
	slots: 8, kvCacheTokens: 300_000, baseStepTime: 0.85, stepTimePerRequest: 0.006, stepTimePerThousandTokens: 0.003, prefillTokensPerMillisecond: 177, attentionTimePerMillionPairs: 0.184, stepsPerIteration: 51,
	meanTokens: {prompt: 11_000, answer: 1600},
};

const short: PromptRequirements = {
	promptTokens: 5000, answerTokens: 1600, latencyTarget: 300, eventGapTarget: 250, remaining: 10_000, progress: 'fresh',
};
const long: PromptRequirements = {
	promptTokens: 150_000, answerTokens: 800, latencyTarget: 3000, eventGapTarget: 1000, remaining: 15_000, progress: 'fresh',
};

function candidate(number: number, rest: Partial<PromptCandidate> = {}): PromptCandidate {
	const record: EngineRecord = {
		id: `e${number}`, service: 'model', host: '127.0.0.1', port: 1, address: `127.0.0.1:${number}`, failureDomain: 'a', slots: 8, state: 'ready', startedAt: 0,
	};
	return {
		record, slowdown: 1, isCoolingDown: false, position: number / 10, load: new LoadTracker().snapshot('none', 0), ...rest,
	};
}

/** The load of an engine at which one request reads and others write. */
function load(reading: number, writers: number, memory = 7000) {
	const book = new LoadTracker();
	for (let index = 0; index < writers; index++) {
		book.add({
			key: `w/${index}`, eventGapTarget: 250, weight: 1, startsAt: 0, expiresAt: 60_000,
			assignments: [{
				engineId: 'e', prefillTime: 0, kvCacheTokens: memory, runsDecode: true,
			}],
		}, 0);
	}

	if (reading > 0) {
		book.add({
			key: 'r/0', eventGapTarget: 1000, weight: 20, startsAt: 0, expiresAt: 60_000, assignments: [{
				engineId: 'e', prefillTime: reading, kvCacheTokens: 0, runsDecode: false,
			}],
		}, 0);
	}

	return book.snapshot('e', 0);
}

/** The placement of a prompt that must not be refused. */
function placed(terms: PromptRequirements, candidates: PromptCandidate[]) {
	const decision = placePrompt(terms, cost, candidates);
	if (decision.kind !== 'place') {
		throw new Error(`refused: ${decision.reason}`);
	}

	return decision;
}

const choices: Array<{name: string; terms: PromptRequirements; candidates: PromptCandidate[]; first: string}> = [
	{
		name: 'short prompts fill the first engine of the order', terms: short, first: 'e1',
		candidates: [candidate(3), candidate(1, {load: load(0, 4)}), candidate(2)],
	},
	{
		name: 'a short prompt leaves an engine whose places are taken', terms: short, first: 'e2', candidates: [candidate(1, {load: load(0, 8)}), candidate(2)],
	},
	{
		name: 'a short prompt leaves an engine that reads a long one', terms: short, first: 'e2', candidates: [candidate(1, {load: load(900, 1)}), candidate(2)],
	},
	{
		name: 'a short prompt leaves a slow engine', terms: short, first: 'e2', candidates: [candidate(1, {slowdown: 5}), candidate(2)],
	},
	{
		name: 'a short prompt leaves an engine that failed of late', terms: short, first: 'e2', candidates: [candidate(1, {isCoolingDown: true}), candidate(2)],
	},
	{
		name: 'an engine that failed of late is better than none', terms: short, first: 'e1', candidates: [candidate(1, {isCoolingDown: true})],
	},
	{
		name: 'a short prompt leaves an engine whose memory is taken', terms: short, first: 'e2', candidates: [candidate(1, {load: load(0, 1, 290_000)}), candidate(2)],
	},
];

for (const {name, terms, candidates, first} of choices) {
	test(name, t => {
		t.like(placePrompt(terms, cost, candidates), {kind: 'place', first: {id: first}, readers: []});
	});
}

test('a long prompt is read by several engines, those without writers first', t => {
	const idle = [1, 2, 3, 4].map(number => candidate(number));
	const busy = [5, 6].map(number => candidate(number, {load: load(0, 6)}));
	const {primary: first, prefillHelpers: readers} = placed(long, [...busy, ...idle]);

	const used = [first, ...readers.map(({record}) => record)].map(({id}) => id);
	t.true(used.length >= 3);
	t.deepEqual(used.filter(id => !['e1', 'e2', 'e3', 'e4'].includes(id)), []);
});

test('a prompt over one engine\'s memory reserves the rest at others', t => {
	const {primaryTokens: firstMemory, prefillHelpers: readers} = placed({...long, promptTokens: 500_000, latencyTarget: 30_000}, [1, 2, 3, 4, 5, 6, 7, 8].map(number => candidate(number)));

	let reserved = 0;
	for (const {reservedTokens: reserve} of readers) {
		t.true(reserve <= 300_000);
		reserved += reserve;
	}

	t.true(reserved + firstMemory >= 500_800);
});

const refusals: Array<{name: string; terms: PromptRequirements; candidates: PromptCandidate[]; reason: string}> = [
	{
		name: 'no engine', terms: short, candidates: [], reason: 'no-engine',
	},
	{
		name: 'a new prompt that would be late', terms: short, candidates: [candidate(1, {load: load(500, 0)})], reason: 'overloaded',
	},
	{
		name: 'a prompt that no memory holds', terms: {...long, promptTokens: 700_000, latencyTarget: 60_000}, candidates: [candidate(1)], reason: 'does-not-fit',
	},
	{
		name: 'a prompt that comes after its caller has left', terms: {...short, latencyTarget: 3000}, candidates: [candidate(1, {load: load(15_000, 0)})], reason: 'too-late',
	},
];

for (const {name, terms, candidates, reason} of refusals) {
	test(`${name} is refused at once, with a time to come back within a third of what is left`, t => {
		const decision = placePrompt(terms, cost, candidates);
		t.like(decision, {kind: 'refuse', reason});
		t.true(decision.kind === 'refuse' && decision.retryAfter > 0 && decision.retryAfter <= terms.remaining / 3);
	});
}

test('a prompt that comes back may wait twice its target', t => {
	t.like(placePrompt({...short, progress: 'returning'}, cost, [candidate(1, {load: load(450, 0)})]), {kind: 'place'});
});

test('a prompt whose answer has begun is placed as long as its caller stays', t => {
	const waiting = load(1500, 0);

	t.like(placePrompt({...short, progress: 'returning'}, cost, [candidate(1, {load: waiting})]), {kind: 'refuse', reason: 'overloaded'});
	t.like(placePrompt({...short, progress: 'begun'}, cost, [candidate(1, {load: waiting})]), {kind: 'place'});
});
