import fc from 'fast-check';
import test from 'ava';
import {CarobquayError} from '../../errors/errors.js';
import type {EngineClient, EngineMessage} from '../../upstream/engine.js';
import {StreamValidator} from '../../upstream/stream-validator.js';
import {MemoryEngine} from '../../upstream/memory-engine.js';
import {PausedClock} from '../../scenario/paused-clock.js';
import type {AnswerSink} from '../answer-sink.js';
import {Dispatcher} from '../dispatcher.js';
import {RequestLifecycle} from '../request-lifecycle.js';
import {PromptRunner} from '../prompt-runner.js';
import {RetryPolicy} from '../retry-policy.js';

const seed = 11;
const runCount = 300;
const answerTokens = 12;
const deadline = 60_000;

const droppedMessages = {misrouted: 0, duplicate: 0, malformed: 0};

/** Faults of one connection. */
type ConnectionFaults = {
	/** Tokens sent before the connection breaks; if there are fewer, it does not break. */
	tokensBeforeBreak: number;
	/** Tokens before the requested offset that are sent again. */
	repeatedTokens: number;
	/** Whether tokens of another request are interleaved. */
	hasForeignTokens: boolean;
	/** Whether an end message is sent in place of the token at which the connection would break. */
	endsEarly: boolean;
};

const connectionFaults = fc.record({
	tokensBeforeBreak: fc.nat(answerTokens + 3), repeatedTokens: fc.nat(3), hasForeignTokens: fc.boolean(), endsEarly: fc.boolean(),
});

/** Engine whose connections have the given faults, one entry for each connection. */
class FaultyEngine extends MemoryEngine implements EngineClient {
	readonly #faults: ConnectionFaults[];

	constructor(name: string, faults: ConnectionFaults[]) {
		super({name});
		this.#faults = faults;
	}

	override async * generate(): AsyncGenerator<EngineMessage> {
		yield {
			kind: 'accepted', requestId: 'r1', attempt: 1, streamId: 's1',
		};
		yield * this.#validatedMessages(0);
	}

	override async * resume(_streamId: string, offset: number): AsyncGenerator<EngineMessage> {
		yield * this.#validatedMessages(offset);
	}

	override async cancel(): Promise<void> {
		// This engine holds no streams.
	}

	/** Yields the messages that pass the same validation as in the engine clients. */
	* #validatedMessages(offset: number): Generator<EngineMessage> {
		const validator = new StreamValidator(this.name, {request: {requestId: 'r1', attempt: 1}, offset}, droppedMessages);
		for (const message of this.#messages(offset)) {
			if (validator.accepts(message)) {
				yield message;
			}
		}
	}

	* #messages(requestedOffset: number): Generator<EngineMessage> {
		const {tokensBeforeBreak, repeatedTokens, hasForeignTokens, endsEarly} = this.#faults.shift() ?? {
			tokensBeforeBreak: answerTokens + 3, repeatedTokens: 0, hasForeignTokens: false, endsEarly: false,
		};
		const usage = {promptTokens: 1, cachedTokens: 0, answerTokens};
		const end = {
			kind: 'end', requestId: 'r1', attempt: 1, offset: answerTokens, reason: 'stop', usage,
		} as const;
		let sentTokens = 0;
		for (let offset = Math.max(0, requestedOffset - repeatedTokens); offset < answerTokens; offset++, sentTokens++) {
			if (sentTokens >= tokensBeforeBreak && endsEarly) {
				yield {
					kind: 'end', requestId: 'r1', attempt: 1, offset: answerTokens, reason: 'stop', usage,
				};
				return;
			}

			if (sentTokens >= tokensBeforeBreak) {
				throw new CarobquayError('4003', {message: 'connection broke'});
			}

			if (hasForeignTokens) {
				yield {
					kind: 'token', requestId: 'r2', attempt: 1, offset, text: 'token of another request',
				};
			}

			yield {
				kind: 'token', requestId: 'r1', attempt: 1, offset, text: ` t${offset}`,
			};
		}

		yield {
			kind: 'end', requestId: 'r1', attempt: 1, offset: answerTokens, reason: 'stop', usage,
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

function createDispatcher(engineNames: readonly string[]): Dispatcher {
	return new Dispatcher({
		router: {
			decide({excluded}) {
				const upstream = engineNames.find(name => !excluded.includes(name));
				return upstream === undefined
					? {
						kind: 'refuse', code: '3005', retryAfter: 1, reason: 'every engine is excluded',
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

test.serial('after connection breaks, an answer is complete or fails with an error, without lost, duplicated or foreign tokens', async t => {
	const scenario = fc.record({streams: fc.boolean(), faults: fc.array(connectionFaults, {maxLength: 8})});
	const completeAnswer = Array.from({length: answerTokens}, (_, offset) => ` t${offset}`).join('');
	const outcomeCounts = {complete: 0, failed: 0};
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(scenario, async ({streams, faults}) => {
		const clock = new PausedClock(seed);
		const sharedFaults = [...faults];
		const engines = ['a', 'b', 'c'].map(name => new FaultyEngine(name, sharedFaults));
		const runner = new PromptRunner({
			dispatcher: createDispatcher(['a', 'b', 'c']), retryPolicy: new RetryPolicy(), findEngine: name => engines.find(engine => engine.name === name), owner: 'o', orphanLifetime: 1000,
		});
		const lifecycle = new RequestLifecycle({
			requestId: 'r1', customer: 'c', requestClass: 'q', deadlineAt: performance.now() + deadline, nonIdempotent: false, idempotencyKey: undefined,
		});
		const sink = new CollectingSink(streams);
		const facts = {
			requestId: 'r1', customer: 'c', requestClass: 'q', model: 'm', service: undefined, promptBytes: 1, messageBytes: [1], prefixHashes: [],
			maximumAnswerTokens: answerTokens, deadline: 0,
		};
		const failures: unknown[] = [];
		let isSettled = false;
		void runner.run({lifecycle, facts, body: []}, sink, new AbortController().signal)
			.catch((error: unknown) => {
				failures.push(error);
			})
			.finally(() => {
				isSettled = true;
			});
		await clock.advanceUntil(() => isSettled, deadline);
		clock.release();
		const [failure] = failures;
		outcomeCounts[failure === undefined ? 'complete' : 'failed'] += 1;
		if (!isSettled || (failure === undefined ? sink.text !== completeAnswer || !sink.isComplete : sink.isComplete || !completeAnswer.startsWith(sink.text))) {
			throw new Error(`ended with ${String(failure)} and "${sink.text}"`);
		}
	}), {seed, numRuns: runCount}));
	t.true(outcomeCounts.complete > 0 && outcomeCounts.failed > 0);
	t.true(droppedMessages.misrouted > 0 && droppedMessages.duplicate > 0);
});
