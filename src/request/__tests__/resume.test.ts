import fc from 'fast-check';
import test from 'ava';
import {CarobquayError} from '../../errors/errors.js';
import type {EngineClient, EngineMessage} from '../../upstream/engine.js';
import {StreamValidator} from '../../upstream/stream-validator.js';
import {MemoryEngine} from '../../upstream/memory-engine.js';
import {PausedClock} from '../../scenario/paused-clock.js';
import type {AnswerSink} from '../answer-sink.js';
import {Dispatcher} from '../dispatcher.js';
import {RequestLife} from '../life.js';
import {PromptRunner} from '../prompt-runner.js';
import {RetryPolicy} from '../retry-policy.js';

const seed = 11;
const runs = 300;
const tokens = 12;
const deadline = 60_000;

const dropped = {misrouted: 0, duplicate: 0, malformed: 0};

/** What goes wrong on one connection. */
type Break = {
	/** Messages until the connection breaks; beyond the answer's end it does not. */
	after: number;
	/** Tokens before the asked offset that are sent again. */
	repeated: number;
	/** Whether messages of another request come between. */
	crossed: boolean;
	/** Whether the end comes in place of the token at which it would break. */
	short: boolean;
};

const connection = fc.record({
	after: fc.nat(tokens + 3), repeated: fc.nat(3), crossed: fc.boolean(), short: fc.boolean(),
});

/** An engine whose connections break as told. */
class BreakingEngine extends MemoryEngine implements EngineClient {
	readonly #breaks: Break[];

	constructor(name: string, breaks: Break[]) {
		super({name});
		this.#breaks = breaks;
	}

	override async * generate(): AsyncGenerator<EngineMessage> {
		yield {
			kind: 'accepted', requestId: 'r1', attempt: 1, streamId: 's1',
		};
		yield * this.#guarded(0);
	}

	override async * resume(_streamId: string, offset: number): AsyncGenerator<EngineMessage> {
		yield * this.#guarded(offset);
	}

	override async cancel(): Promise<void> {
		// Nothing is held.
	}

	/** Passes on what the clients of engines do. */
	* #guarded(offset: number): Generator<EngineMessage> {
		const validator = new StreamValidator(this.name, {request: {requestId: 'r1', attempt: 1}, offset}, dropped);
		for (const message of this.#send(offset)) {
			if (validator.accepts(message)) {
				yield message;
			}
		}
	}

	* #send(asked: number): Generator<EngineMessage> {
		const {after, repeated, crossed, short} = this.#breaks.shift() ?? {
			after: tokens + 3, repeated: 0, crossed: false, short: false,
		};
		const usage = {promptTokens: 1, cachedTokens: 0, answerTokens: tokens};
		const end = {
			kind: 'end', requestId: 'r1', attempt: 1, offset: tokens, reason: 'stop', usage,
		} as const;
		let sent = 0;
		for (let offset = Math.max(0, asked - repeated); offset < tokens; offset++, sent++) {
			if (sent >= after && short) {
				yield {
					kind: 'end', requestId: 'r1', attempt: 1, offset: tokens, reason: 'stop', usage,
				};
				return;
			}

			if (sent >= after) {
				throw new CarobquayError('4003', {message: 'cut'});
			}

			if (crossed) {
				yield {
					kind: 'token', requestId: 'r2', attempt: 1, offset, text: 'another caller\'s',
				};
			}

			yield {
				kind: 'token', requestId: 'r1', attempt: 1, offset, text: ` t${offset}`,
			};
		}

		yield {
			kind: 'end', requestId: 'r1', attempt: 1, offset: tokens, reason: 'stop', usage,
		};
	}
}

class CollectingSink implements AnswerSink {
	readonly isStreamed: boolean;
	text = '';
	isComplete = false;

	constructor(streams: boolean) {
		this.isStreamed = streams;
	}

	writeToken(text: string): undefined {
		this.text += text;
	}

	restart(): void {
		this.text = '';
	}

	async complete(): Promise<void> {
		this.isComplete = true;
	}
}

function dispatcherOf(names: readonly string[]): Dispatcher {
	return new Dispatcher({
		source: {
			decide({excluded}) {
				const upstream = names.find(name => !excluded.includes(name));
				return upstream === undefined
					? {
						kind: 'refuse', code: '3005', retryAfter: 1, reason: 'none left',
					}
					: {
						kind: 'send', upstream, pool: 'p', tier: 'short', score: 0, secondBest: undefined, secondBestScore: undefined, candidateCount: 1,
						promptTokens: 1, cachedTokens: 0, priority: 1, isReservationRequired: false, reason: 'only-candidate',
					};
			},
			handleReservationOutcome: () => undefined,
			drain: () => [],
			nextDrainTime: () => undefined,
			withdraw: () => undefined,
			observe: () => undefined,
		},
		reserver: {
			reserve: async () => ({reservationId: 'none', expectedWait: 0}),
			release: () => undefined,
		},
	});
}

test.serial('a broken stream ends whole or fails plainly, without a byte lost, doubled or crossed', async t => {
	const course = fc.record({streams: fc.boolean(), breaks: fc.array(connection, {maxLength: 8})});
	const whole = Array.from({length: tokens}, (_, offset) => ` t${offset}`).join('');
	const ends = {whole: 0, failed: 0};
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(course, async ({streams, breaks}) => {
		const clock = new PausedClock(seed);
		const shared = [...breaks];
		const engines = ['a', 'b', 'c'].map(name => new BreakingEngine(name, shared));
		const runner = new PromptRunner({
			dispatcher: dispatcherOf(['a', 'b', 'c']), retries: new RetryPolicy(), engine: name => engines.find(engine => engine.name === name), owner: 'o', orphanLifetime: 1000,
		});
		const life = new RequestLife({
			requestId: 'r1', customer: 'c', requestClass: 'q', deadlineAt: performance.now() + deadline, nonIdempotent: false, idempotencyKey: undefined,
		});
		const sink = new CollectingSink(streams);
		const facts = {
			requestId: 'r1', customer: 'c', requestClass: 'q', model: 'm', service: undefined, promptBytes: 1, messageBytes: [1], prefixHashes: [],
			maximumAnswerTokens: tokens, deadline: 0,
		};
		const failures: unknown[] = [];
		let settled = false;
		void runner.run({life, facts, body: []}, sink, new AbortController().signal)
			.catch((error: unknown) => {
				failures.push(error);
			})
			.finally(() => {
				settled = true;
			});
		await clock.advanceUntil(() => settled, deadline);
		clock.release();
		const [failure] = failures;
		ends[failure === undefined ? 'whole' : 'failed'] += 1;
		if (!settled || (failure === undefined ? sink.text !== whole || !sink.isComplete : sink.isComplete || !whole.startsWith(sink.text))) {
			throw new Error(`ended with ${String(failure)} and "${sink.text}"`);
		}
	}), {seed, numRuns: runs}));
	t.true(ends.whole > 0 && ends.failed > 0);
	t.true(dropped.misrouted > 0 && dropped.duplicate > 0);
});
