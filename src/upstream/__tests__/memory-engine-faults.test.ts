import {Buffer} from 'node:buffer';
import fakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import fc from 'fast-check';
import {answerHash, answerText} from '../../stand-in/engine/answer.js';
import type {FaultOrder} from '../../stand-in/faults.js';
import type {EngineMessage} from '../engine.js';
import {MemoryEngine} from '../memory-engine.js';

/** Greatest number of connections that a reader tries. */
const maximumConnections = 30;

const answerTokens = 300;
const body = [Buffer.from(JSON.stringify({model: 'stand-in', max_tokens: answerTokens, messages: [{role: 'user', content: 'x'.repeat(40_000)}]}))];

/** Reads a whole answer over as many connections as it takes. */
async function readCompleteAnswer(engine: MemoryEngine): Promise<string> {
	const {signal} = new AbortController();
	const tokens: string[] = [];
	let streamId: string | undefined;
	for (let connection = 0; connection < maximumConnections; connection++) {
		const messages: AsyncIterable<EngineMessage> = streamId === undefined
			? engine.generate({
				requestId: 'request-1', attempt: connection, owner: 'entry-1', body, priority: 0, timeRemaining: 600_000, orphanLifetime: 30_000,
			}, signal)
			: engine.resume(streamId, tokens.length, signal);
		try {
			for await (const message of messages) { // eslint-disable-line no-await-in-loop
				streamId = 'streamId' in message ? message.streamId : streamId;
				tokens.push(...('text' in message ? [message.text] : []));
				if (message.kind === 'end') {
					return tokens.join('');
				}
			}
		} catch {
			// The next connection goes on from the last token.
			await new Promise<void>(resolve => { // eslint-disable-line no-await-in-loop
				setTimeout(resolve, 1000);
			});
		}
	}

	return tokens.join('');
}

const faultOrder: fc.Arbitrary<FaultOrder> = fc.oneof(
	fc.constant({cut: true}),
	fc.constant({silence: true}),
	fc.constant({loseAnswers: 1}),
	fc.integer({min: 1, max: 8000}).map(freeze => ({freeze})),
	fc.integer({min: 1, max: 6000}).map(slow => ({slow, duration: 5000})),
	fc.constantFrom('refusing' as const, 'unavailable' as const).map(availability => ({availability, duration: 3000})),
);

test.serial('under any run of faults an answer is read whole, and no memory is lost', async t => {
	await fc.assert(fc.asyncProperty(fc.array(fc.record({after: fc.nat(1500), order: faultOrder}), {minLength: 1, maxLength: 10}), async faults => {
		const clock = fakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
		const engine = new MemoryEngine({name: 'engine-1', parameters: {blocks: 1000}});
		try {
			const reading = readCompleteAnswer(engine);
			for (const {after, order} of faults) {
				await clock.tickAsync(after); // eslint-disable-line no-await-in-loop
				engine.faults.apply(order);
			}

			await clock.tickAsync(700_000);
			t.is(await reading, answerText(answerHash(body), answerTokens));
			t.deepEqual(engine.host.streams(), []);
			t.is(engine.host.model.load().freeBlocks, 1000);
		} finally {
			await engine.close();
			clock.uninstall();
		}
	}), {seed: 20_261, numRuns: 100});
});
