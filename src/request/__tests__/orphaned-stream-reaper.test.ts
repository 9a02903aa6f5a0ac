import fakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {EventLog} from '../../telemetry/log.js';
import {MemoryEngine} from '../../upstream/memory-engine.js';
import {OrphanedStreamReaper} from '../orphaned-stream-reaper.js';

const cases: Array<{name: string; owner: string; cancelled: number}> = [
	{name: 'of a dead owner is cancelled once', owner: 'entry-1/a', cancelled: 1},
	{name: 'of a live owner stays', owner: 'entry-2/b', cancelled: 0},
];

for (const {name, owner, cancelled} of cases) {
	test.serial(`stream ${name}`, async t => {
		const clock = fakeTimers.install();
		const engine = new MemoryEngine({name: 'kohus-llm-1', models: ['kohus-70b'], heartbeatInterval: 1000});
		let cancellations = 0;
		engine.cancel = async streamId => {
			cancellations += 1;
			engine.host.cancel(streamId);
		};

		const reaper = new OrphanedStreamReaper({engines: () => [engine], isOwnerDead: asked => asked === 'entry-1/a', log: new EventLog({write: () => undefined})});
		t.teardown(async () => {
			reaper.stop();
			await engine.close();
			clock.uninstall();
		});
		const messages = engine.generate({
			requestId: 'r1', attempt: 1, owner, priority: 1, timeRemaining: 600_000, orphanLifetime: 600_000,
			body: [new TextEncoder().encode('{"model":"kohus-70b","max_tokens":1000,"messages":[{"role":"user","content":"x"}]}')],
		}, new AbortController().signal);
		const first = messages.next();
		await clock.tickAsync(100);
		await first;

		reaper.start();
		await clock.tickAsync(12_000);

		t.is(cancellations, cancelled);
	});
}
