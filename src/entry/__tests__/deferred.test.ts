import test from 'ava';
import {request} from 'undici';
import {ask, wholeText, type Reply} from '../../__tests__/support/client.js';
import {ProcessFleet, ProgramProcess, testKey} from '../../__tests__/support/processes.js';

/** Longest time in milliseconds until a request is taken over and answered. */
const patience = 40_000;

async function fetchDeferred(address: string, id: string, key = testKey): Promise<Reply> {
	const response = await request(`http://${address}/v1/requests/${id}`, {headers: {authorization: `Bearer ${key}`}});
	return {status: response.statusCode, headers: response.headers, text: await response.body.text()};
}

async function pollToEnd(address: string, id: string): Promise<Reply> {
	const giveUpAt = Date.now() + patience;
	for (;;) {
		const reply = await fetchDeferred(address, id); // eslint-disable-line no-await-in-loop
		if (reply.status !== 202 || Date.now() > giveUpAt) {
			return reply;
		}

		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, 100);
		});
	}
}

test.serial('a deferred request is accepted, outlives its entry and is fetched whole from another', async t => {
	const fleet = await ProcessFleet.start({settings: '[deferred]\nlease_time = 1 s\n[ledger]\nbatch_time = 50 ms', engineArguments: ['--time-scale', '20']});
	t.teardown(async () => fleet.stop());
	const first = fleet.entries[0]!;
	const other = fleet.entries[1]!;
	const from = new Date().toISOString();
	const headers = {'carobquay-class': 'bundle', 'idempotency-key': 'evening'};
	const question = {content: 'a bundle of files', tokens: 60, headers};
	const accepted = await ask(first.callers, question);
	t.is(accepted.status, 202, `refused: ${accepted.text}`);
	const id = String(accepted.headers['carobquay-request']);
	t.like(JSON.parse(accepted.text), {id, status: 'accepted', poll: `/v1/requests/${id}`});

	const again = await ask(other.callers, question);
	t.is(again.headers['carobquay-request'], id);
	const changed = await ask(other.callers, {...question, content: 'another bundle'});
	t.is(changed.status, 422);
	t.is((JSON.parse(changed.text) as {error: {code: number}}).error.code, 1011); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion

	await first.process.line(new RegExp(String.raw`event=deferred\.taken .*request=${id}`, 'v'));
	await first.process.kill();
	const answer = await pollToEnd(other.callers, id);
	t.is(answer.status, 200, `failed: ${answer.text}`);
	t.is(wholeText(answer).trim().split(' ').length, 60);
	t.is((JSON.parse(answer.text) as {id: string}).id, id); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion

	const unknown = await fetchDeferred(other.callers, 'nothing');
	t.is(unknown.status, 404);
	t.true(unknown.text.includes('"code":1010'));

	other.process.signal('SIGTERM');
	t.is(await other.process.exited(), 0);
	const to = new Date(Date.now() + 1000).toISOString();
	const audit = new ProgramProcess(['audit', '--from', from, '--to', to, '--objects', fleet.platform.objects, '--json']);
	await audit.exited();
	t.like(JSON.parse(audit.lines[0]!), {made: 1, kept: 1, promises: {0: {requestId: id, requestClass: 'bundle'}}});
});
