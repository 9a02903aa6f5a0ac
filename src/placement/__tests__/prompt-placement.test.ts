import test from 'ava';
import type {EngineCost, EngineRecord} from '../../serving/model.js';
import {LoadBook} from '../load-tracker.js';
import {placePrompt, type PromptCandidate, type PromptTerms} from '../prompt-placement.js';

const cost: EngineCost = {
	slots: 8, memoryTokens: 300_000, step: 0.85, stepPerRequest: 0.006, stepPerThousandTokens: 0.003, readRate: 177, pairCost: 0.184, stride: 51,
	usual: {prompt: 11_000, answer: 1600},
};

const short: PromptTerms = {
	promptTokens: 5000, answerTokens: 1600, target: 300, gapTarget: 250, remaining: 10_000, standing: 'fresh',
};
const long: PromptTerms = {
	promptTokens: 150_000, answerTokens: 800, target: 3000, gapTarget: 1000, remaining: 15_000, standing: 'fresh',
};

function candidate(number: number, rest: Partial<PromptCandidate> = {}): PromptCandidate {
	const record: EngineRecord = {
		id: `e${number}`, service: 'model', host: '127.0.0.1', port: 1, address: `127.0.0.1:${number}`, failureDomain: 'a', slots: 8, state: 'ready', startedAt: 0,
	};
	return {
		record, pace: 1, isAvoided: false, order: number / 10, load: new LoadBook().view('none', 0), ...rest,
	};
}

/** The load of an engine at which one request reads and others write. */
function load(reading: number, writers: number, memory = 7000) {
	const book = new LoadBook();
	for (let index = 0; index < writers; index++) {
		book.place({
			key: `w/${index}`, gapTarget: 250, weight: 1, startsAt: 0, expiresAt: 60_000,
			parts: [{
				engineId: 'e', reading: 0, memory, writes: true,
			}],
		}, 0);
	}

	if (reading > 0) {
		book.place({
			key: 'r/0', gapTarget: 1000, weight: 20, startsAt: 0, expiresAt: 60_000, parts: [{
				engineId: 'e', reading, memory: 0, writes: false,
			}],
		}, 0);
	}

	return book.view('e', 0);
}

/** The placement of a prompt that must not be refused. */
function placed(terms: PromptTerms, candidates: PromptCandidate[]) {
	const decision = placePrompt(terms, cost, candidates);
	if (decision.kind !== 'place') {
		throw new Error(`refused: ${decision.reason}`);
	}

	return decision;
}

const choices: Array<{name: string; terms: PromptTerms; candidates: PromptCandidate[]; first: string}> = [
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
		name: 'a short prompt leaves a slow engine', terms: short, first: 'e2', candidates: [candidate(1, {pace: 5}), candidate(2)],
	},
	{
		name: 'a short prompt leaves an engine that failed of late', terms: short, first: 'e2', candidates: [candidate(1, {isAvoided: true}), candidate(2)],
	},
	{
		name: 'an engine that failed of late is better than none', terms: short, first: 'e1', candidates: [candidate(1, {isAvoided: true})],
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
	const {first, readers} = placed(long, [...busy, ...idle]);

	const used = [first, ...readers.map(({record}) => record)].map(({id}) => id);
	t.true(used.length >= 3);
	t.deepEqual(used.filter(id => !['e1', 'e2', 'e3', 'e4'].includes(id)), []);
});

test('a prompt over one engine\'s memory reserves the rest at others', t => {
	const {firstMemory, readers} = placed({...long, promptTokens: 500_000, target: 30_000}, [1, 2, 3, 4, 5, 6, 7, 8].map(number => candidate(number)));

	let reserved = 0;
	for (const {reserve} of readers) {
		t.true(reserve <= 300_000);
		reserved += reserve;
	}

	t.true(reserved + firstMemory >= 500_800);
});

const refusals: Array<{name: string; terms: PromptTerms; candidates: PromptCandidate[]; reason: string}> = [
	{
		name: 'no engine', terms: short, candidates: [], reason: 'no-engine',
	},
	{
		name: 'a new prompt that would be late', terms: short, candidates: [candidate(1, {load: load(500, 0)})], reason: 'overloaded',
	},
	{
		name: 'a prompt that no memory holds', terms: {...long, promptTokens: 700_000, target: 60_000}, candidates: [candidate(1)], reason: 'does-not-fit',
	},
	{
		name: 'a prompt that comes after its caller has left', terms: {...short, target: 3000}, candidates: [candidate(1, {load: load(15_000, 0)})], reason: 'too-late',
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
	t.like(placePrompt({...short, standing: 'returning'}, cost, [candidate(1, {load: load(450, 0)})]), {kind: 'place'});
});

test('a prompt whose answer has begun is placed as long as its caller stays', t => {
	const waiting = load(1500, 0);

	t.like(placePrompt({...short, standing: 'returning'}, cost, [candidate(1, {load: waiting})]), {kind: 'refuse', reason: 'overloaded'});
	t.like(placePrompt({...short, standing: 'begun'}, cost, [candidate(1, {load: waiting})]), {kind: 'place'});
});
