import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {Agent, request} from 'undici';
import {type FaultOrder, Faults} from '../faults.js';
import {createApplication, startServer} from '../server.js';

/** Time in milliseconds after which a probe counts as unanswered. */
const probeTimeout = 400;

async function start(t: ExecutionContext) {
	const faults = new Faults();
	const application = createApplication(faults);
	let worked = 0;
	application.get('/work', context => context.json({worked: ++worked}));
	const server = await startServer(application, {faults});
	const agent = new Agent({connections: 1, pipelining: 1});
	t.teardown(async () => {
		faults.clear();
		await agent.destroy();
		await server.close();
	});
	const probe = async (): Promise<number | string> => {
		try {
			const {statusCode, body} = await request(`http://${server.address}/work`, {dispatcher: agent, signal: AbortSignal.timeout(probeTimeout)});
			await body.dump();
			return statusCode;
		} catch (error) {
			return error instanceof Error && error.name === 'TimeoutError' ? 'unanswered' : 'failed';
		}
	};

	const order = async (value: FaultOrder | Record<string, unknown>): Promise<number> => {
		const {statusCode, body} = await request(`http://${server.address}/admin/faults`, {method: 'POST', body: JSON.stringify(value)});
		await body.dump();
		return statusCode;
	};

	return {probe, order, worked: () => worked};
}

const cases: Array<{name: string; order: FaultOrder; expected: Array<number | string>; worked: number}> = [
	{
		name: 'unavailable', order: {availability: 'unavailable'}, expected: [503, 503], worked: 0,
	},
	{
		name: 'refusing', order: {availability: 'refusing'}, expected: ['failed', 'failed'], worked: 0,
	},
	{
		name: 'rate limited', order: {requestsPerSecond: 1}, expected: [200, 429], worked: 1,
	},
	{
		name: 'losing one answer', order: {loseAnswers: 1}, expected: ['failed', 200], worked: 2,
	},
	{
		name: 'silent on existing connections', order: {silence: true}, expected: ['unanswered', 200], worked: 1,
	},
	{
		name: 'cutting existing connections', order: {cut: true}, expected: [200, 200], worked: 2,
	},
];

for (const {name, order, expected, worked} of cases) {
	test.serial(`stand-in ${name}`, async t => {
		const standIn = await start(t);
		t.is(await standIn.probe(), 200);
		t.is(await standIn.order(order), 200);
		// Lets a cut reach the client, so that it does not reuse the connection.
		await delay(20);
		const before = standIn.worked();
		const seen = [await standIn.probe(), await standIn.probe()];
		t.deepEqual(seen, expected);
		t.is(standIn.worked() - before, worked);
	});
}

test.serial('a frozen stand-in answers after the freeze', async t => {
	const standIn = await start(t);
	t.is(await standIn.order({freeze: 800}), 200);
	t.is(await standIn.probe(), 'unanswered');
	await delay(600);
	t.is(await standIn.probe(), 200);
});

test.serial('refused connections are accepted again after the duration', async t => {
	const standIn = await start(t);
	t.is(await standIn.order({availability: 'refusing', duration: 100}), 200);
	t.is(await standIn.probe(), 'failed');
	await delay(200);
	t.is(await standIn.probe(), 200);
});

test.serial('an unknown fault is refused', async t => {
	const standIn = await start(t);
	t.is(await standIn.order({explode: true}), 400);
});
