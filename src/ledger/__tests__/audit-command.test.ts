import test from 'ava';
import {request} from 'undici';
import {ask} from '../../__tests__/support/client.js';
import {ProcessFleet, ProgramProcess} from '../../__tests__/support/processes.js';

const secret = 'a text that stays with its caller';

test.serial('audit tells of the promises of an instance that has shut down, and the ledger holds no text', async t => {
	const fleet = await ProcessFleet.start({entries: 1, engines: 1});
	t.teardown(async () => fleet.stop());
	const from = new Date(Date.now() - 60_000).toISOString();
	const entry = fleet.entries[0]!;
	const replies = await Promise.all([1, 2, 3].map(async tokens => ask(entry.callers, {content: secret, tokens, stream: false})));
	t.deepEqual(replies.map(({status}) => status), [200, 200, 200]);
	entry.process.signal('SIGTERM');
	t.is(await entry.process.exited(), 0);

	const to = new Date(Date.now() + 60_000).toISOString();
	const {objects} = fleet.platform;
	const audit = new ProgramProcess(['audit', '--from', from, '--to', to, '--customer', 'advokaat', '--objects', objects, '--json']);
	t.is(await audit.exited(), 0);
	const report = JSON.parse(audit.lines[0]!) as {promises: Array<{segments: string[]}>}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	t.like(report, {
		made: 3, kept: 3, broken: 0, unknown: 0, findings: [],
	});
	const key = report.promises[0]!.segments[0]!;
	const segment = await request(`http://${objects}/v1/objects/${encodeURIComponent(key)}`);
	const text = await segment.body.text();
	t.true(text.includes('advokaat'));
	t.false(text.includes(secret));

	const plain = new ProgramProcess(['audit', '--from', from, '--to', to, '--customer', 'other', '--objects', objects]);
	t.is(await plain.exited(), 0);
	t.regex(plain.lines[0]!, /^promises made 0, /v);
});
