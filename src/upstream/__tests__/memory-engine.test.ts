import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import fakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {CarobquayError} from '../../errors/errors.js';
import type {EngineMessage} from '../engine.js';
import {MemoryEngine} from '../memory-engine.js';

const body = [Buffer.from(JSON.stringify({model: 'stand-in', max_tokens: 50, messages: [{role: 'user', content: 'x'.repeat(400_000)}]}))];

const cases: Array<{name: string; act?: (engine: MemoryEngine) => void; code: string | undefined; within: number}> = [
	{
		name: 'whole', code: undefined, within: 20_000,
	},
	{
		name: 'of an engine that dies',
		act(engine) {
			engine.kill();
		},
		code: '4003',
		within: 1000,
	},
	{
		name: 'of an engine that freezes for a minute',
		act(engine) {
			engine.faults.apply({freeze: 60_000});
		},
		code: '4004',
		within: 6100,
	},
	{
		name: 'over a connection that goes silent',
		act(engine) {
			engine.faults.apply({silence: true});
		},
		code: '4004',
		within: 6100,
	},
];

for (const {name, act, code, within} of cases) {
	test.serial(`a long stream ${name} under a paused clock: ${code ?? 'no error'}`, async t => {
		const clock = fakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
		const engine = new MemoryEngine({name: 'engine-1'});
		t.teardown(async () => {
			await engine.close();
			clock.uninstall();
		});
		const messages: EngineMessage[] = [];
		let failure: string | undefined;
		let endedAt: number | undefined;
		const reading = (async () => {
			try {
				for await (const message of engine.generate({
					requestId: 'request-1', attempt: 1, owner: 'entry-1', body, priority: 0, timeRemaining: 60_000, orphanLifetime: 5000,
				}, new AbortController().signal)) {
					messages.push(message);
				}
			} catch (error) {
				failure = error instanceof CarobquayError ? error.code : 'unnumbered';
			}

			endedAt = performance.now();
		})();

		await clock.tickAsync(100);
		act?.(engine);
		await clock.tickAsync(within);
		t.not(endedAt, undefined);
		await reading;
		t.is(failure, code);
		t.is(messages.at(-1)?.kind === 'end', code === undefined);
	});
}
