import test from 'ava';
import {ask, streamedText} from './support/client.js';
import {ProcessFleet} from './support/processes.js';

test.serial('a graceful shutdown cuts no request and takes no new one; a second signal stops at once', async t => {
	const fleet = await ProcessFleet.start({entries: 2, engines: 2, engineArguments: ['--time-scale', '4']});
	t.teardown(async () => fleet.stop());
	const [leaving, staying] = fleet.entries;
	const inFlight = Array.from({length: 6}, async (_, index) => ask(leaving!.callers, {content: `long ${index}`, tokens: 30, stream: true}));
	await leaving!.process.line(/event=routing\.decision/v, inFlight.length);

	leaving!.process.signal('SIGTERM');
	await leaving!.process.line(/event=instance\.stopping/v);
	const refused = await ask(leaving!.callers, {content: 'late'}).catch(() => undefined);
	t.not(refused?.status, 200);

	for (const reply of await Promise.all(inFlight)) {
		t.is(reply.status, 200);
		t.true(streamedText(reply).isWhole);
		t.is(streamedText(reply).answer.trim().split(' ').length, 30);
	}

	t.is(await leaving!.process.exited(), 0);

	const cut = ask(staying!.callers, {content: 'cut', tokens: 500, stream: true}).catch(() => undefined);
	await staying!.process.line(/event=routing\.decision/v);
	staying!.process.signal('SIGTERM');
	await staying!.process.line(/event=instance\.stopping/v);
	staying!.process.signal('SIGTERM');
	t.is(await staying!.process.exited(), 1);
	await cut;
});
