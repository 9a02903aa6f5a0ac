import test from 'ava';
import fc from 'fast-check';
import {match} from 'ts-pattern';
import {EngineModel} from '../engine-model.js';
import type {EngineParameters} from '../engine-parameters.js';
import type {ModelRequest, StepResult} from '../model-stream.js';

const smallEngine: Partial<EngineParameters> = {
	blocks: 100, blockTokens: 10, chunkTokens: 50, maximumBatch: 4, prefixCacheBlocks: 40,
};

function request(streamId: string, particulars: Partial<ModelRequest> = {}): ModelRequest {
	return {
		streamId,
		requestId: `request-${streamId}`,
		attempt: 1,
		owner: 'entry-1',
		promptTokens: 100,
		answerTokens: 3,
		priority: 0,
		prefixHashes: [],
		tokensPerPrefixHash: 20,
		...particulars,
	};
}

function hashes(prefix: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${prefix}${index}`);
}

function drain(model: EngineModel): StepResult[] {
	const steps: StepResult[] = [];
	for (let step = model.step(); step; step = model.step()) {
		steps.push(step);
	}

	return steps;
}

/** Streams by the order of their first tokens. */
function firstTokenOrder(steps: readonly StepResult[]): string[] {
	return steps.flatMap(step => step.firstTokens.map(stream => stream.request.streamId));
}

const orderCases: Array<{name: string; chunkedPrefill: boolean; expected: string[]}> = [
	{name: 'chunked prefill lets a higher priority in between', chunkedPrefill: true, expected: ['urgent', 'long']},
	{name: 'whole prefill ends before a higher priority begins', chunkedPrefill: false, expected: ['long', 'urgent']},
];

for (const {name, chunkedPrefill, expected} of orderCases) {
	test(name, t => {
		const model = new EngineModel({...smallEngine, chunkedPrefill});
		model.submit(request('long', {promptTokens: 400}));
		const steps = [model.step()!];
		model.submit(request('urgent', {priority: 5}));
		steps.push(...drain(model));
		t.deepEqual(firstTokenOrder(steps), expected);
	});
}

test('a stream that never fits is refused, one that does not fit now waits in order of priority', t => {
	const model = new EngineModel(smallEngine);
	t.is(model.submit(request('huge', {promptTokens: 1000})), 'never-fits');
	model.submit(request('first', {promptTokens: 900}));
	model.step();
	model.submit(request('low', {promptTokens: 200}));
	model.submit(request('high', {promptTokens: 200, priority: 1}));
	t.like(model.load(), {running: 1, waiting: 2});
	t.deepEqual(firstTokenOrder(drain(model)), ['first', 'high', 'low']);
	t.deepEqual(model.accounts(), {
		total: 100, free: 100, streams: 0, cache: 0, reservations: 0,
	});
});

test('every stream gets each of its tokens once', t => {
	const model = new EngineModel(smallEngine);
	for (let index = 0; index < 10; index++) {
		model.submit(request(`stream-${index}`, {answerTokens: index + 1}));
	}

	const counts: Record<string, number> = {};
	for (const stream of drain(model).flatMap(step => step.produced)) {
		counts[stream.request.streamId] = (counts[stream.request.streamId] ?? 0) + 1;
	}

	t.deepEqual(counts, Object.fromEntries(Array.from({length: 10}, (_, index) => [`stream-${index}`, index + 1])));
});

test('a late chunk of a long prompt takes longer than an early one', t => {
	const model = new EngineModel();
	model.submit(request('long', {promptTokens: 400_000, answerTokens: 1}));
	const steps = drain(model);
	t.true(steps.at(-2)!.duration > 3 * steps[0]!.duration);
});

test('a repeated prefix is cached, evicted when memory is needed, and reported', t => {
	const model = new EngineModel(smallEngine);
	const prefixHashes = hashes('a', 5);
	model.submit(request('first', {prefixHashes}));
	drain(model);
	model.submit(request('second', {prefixHashes}));
	model.step();
	// The last of the five parts is computed again for the first answer token.
	t.is(model.stream('second')?.cachedTokens, 80);
	drain(model);
	model.submit(request('other', {promptTokens: 990, answerTokens: 10}));
	drain(model);
	t.deepEqual(model.cacheSnapshot().hashes, []);
	const {events} = model.cacheEvents(0);
	t.deepEqual(events.map(event => event.sequence), events.map((_, index) => index + 1));
	t.deepEqual(model.cacheEvents(events.length - 1).events, events.slice(-1));
});

test('a reservation is taken over by its stream or freed on expiry', t => {
	const model = new EngineModel(smallEngine);
	t.is(model.reserve({
		reservationId: 'kept', promptTokens: 500, answerTokens: 10, expiresAt: 1000,
	}), 'accepted');
	t.is(model.reserve({
		reservationId: 'refused', promptTokens: 500, answerTokens: 10, expiresAt: 1000,
	}), 'no-memory');
	t.is(model.reserve({
		reservationId: 'lapsed', promptTokens: 100, answerTokens: 10, expiresAt: 500,
	}), 'accepted');
	model.expire(500);
	t.is(model.accounts().reservations, 51);
	model.submit(request('long', {promptTokens: 500, answerTokens: 10, reservationId: 'kept'}));
	t.like(model.accounts(), {reservations: 0, streams: 51, free: 49});
	drain(model);
	t.is(model.accounts().free, 100);
});

test('an import keeps prefixes that were cached already', t => {
	const model = new EngineModel(smallEngine);
	const prefixHashes = hashes('a', 5);
	model.submit(request('first', {prefixHashes}));
	drain(model);
	t.is(model.importCache('import', {hashes: [...prefixHashes, 'new'], blocksPerHash: 2, expiresAt: 1000}), 'accepted');
	t.is(model.submit(request('other', {promptTokens: 870, answerTokens: 10})), 'accepted');
	drain(model);
	t.deepEqual(model.cacheSnapshot().hashes, [...prefixHashes, 'new']);
	t.is(model.importCache('never', {hashes: hashes('b', 60), blocksPerHash: 2, expiresAt: 1000}), 'never-fits');
	model.expire(1000);
	t.is(model.load().freeBlocks, 100);
});

test('a reservation is refused while a stream waits for memory', t => {
	const model = new EngineModel(smallEngine);
	model.submit(request('running', {promptTokens: 400}));
	model.submit(request('waiting', {promptTokens: 700}));
	model.step();
	t.like(model.load(), {running: 1, waiting: 1, freeBlocks: 59});
	t.is(model.reserve({
		reservationId: 'later', promptTokens: 100, answerTokens: 10, expiresAt: 1000,
	}), 'no-memory');
	t.deepEqual(firstTokenOrder(drain(model)), ['running', 'waiting']);
});

const prompt = fc.integer({min: 1, max: 1200});
const prefix = fc.constantFrom('a', 'b', 'c');
const operation = fc.oneof(
	fc.record({
		kind: fc.constant('submit' as const),
		prompt,
		prefix,
		answer: fc.integer({min: 1, max: 9}),
		priority: fc.integer({min: 0, max: 2}),
		reservation: fc.nat(20),
	}),
	fc.record({kind: fc.constant('step' as const)}),
	fc.record({kind: fc.constant('cancel' as const), target: fc.nat(30)}),
	fc.record({kind: fc.constant('reserve' as const), prompt}),
	fc.record({kind: fc.constant('import' as const), prefix}),
	fc.record({kind: fc.constant('export' as const), prefix}),
	fc.record({kind: fc.constant('expire' as const)}),
	fc.record({kind: fc.constant('clear' as const)}),
);
type Operation = typeof operation extends fc.Arbitrary<infer Value> ? Value : never;

function apply(model: EngineModel, current: Operation, index: number): unknown {
	const id = `${index}`;
	const expiresAt = index + 10;
	return match(current)
		.with({kind: 'submit'}, submitted => model.submit(request(id, {
			promptTokens: submitted.prompt,
			answerTokens: submitted.answer,
			priority: submitted.priority,
			prefixHashes: hashes(submitted.prefix, Math.floor(submitted.prompt / 20)),
			reservationId: `${submitted.reservation}`,
		})))
		.with({kind: 'step'}, () => model.step())
		.with({kind: 'cancel'}, ({target}) => model.cancel(`${target}`))
		.with({kind: 'reserve'}, reserved => model.reserve({
			reservationId: id, promptTokens: reserved.prompt, answerTokens: 1, expiresAt,
		}))
		.with({kind: 'import'}, imported => model.importCache(id, {hashes: hashes(imported.prefix, 8), blocksPerHash: 2, expiresAt}))
		.with({kind: 'export'}, exported => model.holdForExport(id, hashes(exported.prefix, 8), expiresAt))
		.with({kind: 'expire'}, () => {
			model.expire(index);
		})
		.with({kind: 'clear'}, () => {
			model.clearCache();
		})
		.exhaustive();
}

test('blocks add up after any sequence of operations, and all streams end', t => {
	fc.assert(fc.property(fc.array(operation, {maxLength: 60}), operations => {
		const model = new EngineModel(smallEngine);
		for (const [index, current] of operations.entries()) {
			apply(model, current, index);
			const {total, free, streams, cache, reservations} = model.accounts();
			t.is(free + streams + cache + reservations, total);
			t.true(free >= 0);
		}

		model.expire(Infinity);
		drain(model);
		t.like(model.load(), {
			running: 0, waiting: 0, pendingPromptTokens: 0, freeBlocks: 100,
		});
	}), {seed: 20_261, numRuns: 300});
});
